//! The faults that can be injected into a target.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

/// The distribution of the run time of requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delay {
    /// A constant duration.
    FixedMs(u64),
    /// A uniform distribution between two bounds, both included.
    UniformMs(u64, u64),
    /// An exponential distribution with this mean, limited to 20 times the
    /// mean.
    ExponentialMs(u64),
    /// The first duration for most requests, and the second one for the given
    /// share of the requests.
    MixedMs(u64, u64, f64),
}

/// Which bytes of a connection are dropped without closing the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Silence {
    /// No bytes.
    #[default]
    None,
    /// The bytes of responses: requests run and their responses are lost.
    Answers,
    /// The bytes of requests and responses.
    Both,
}

/// What a target that is leaving does with new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Drain {
    /// The target is not leaving.
    #[default]
    No,
    /// It runs new requests and announces that it is leaving.
    Serve,
    /// It sheds new requests and announces that it is leaving.
    Shed,
}

/// The direction of the bytes after which a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutDirection {
    /// The bytes of the request.
    Request,
    /// The bytes of the response.
    Answer,
}

/// How a cut connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutEnd {
    /// With a TCP reset.
    Reset,
    /// With an orderly close.
    Close,
}

/// Closes a connection after a given number of bytes of a request or response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutPlan {
    /// The direction of the bytes that are counted.
    pub part: CutDirection,
    /// The number of bytes that pass before the cut. The count starts again
    /// with each request of a connection.
    pub byte: u64,
    /// How the connection is closed.
    pub end: CutEnd,
    /// The number of connections of the target to cut.
    pub count: u32,
}

/// The injected faults of a target. The default is a healthy target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// The distribution of the run time of requests.
    pub delay: Delay,
    /// The share of requests that run and fail with status 500; requests to
    /// `/health` never fail.
    pub fail_share: f64,
    /// Whether requests are accepted and never get a response.
    pub hang: bool,
    /// The length of the alternating healthy and failing periods of a flapping
    /// target; 0 if the target doesn't flap. All requests that arrive in a
    /// failing period fail.
    pub flap_period_ms: u64,
    /// What the target does with new requests while it is leaving.
    pub leaving: Drain,
    /// The target crashes when a request body contains this text.
    pub crash_marker: Option<Box<str>>,
    /// How long a crashed target refuses connections.
    pub crash_down_ms: u64,
    /// The delay between the end of a run and its response.
    pub late_ms: u64,
    /// The number of next responses that carry the request id and body of the
    /// response to another request.
    pub cross_next: u32,
    /// The number of next responses that are sent twice.
    pub double_next: u32,
    /// After how many bytes connections are closed, and how.
    pub cut: Option<CutPlan>,
    /// The silence of connections that are opened from now on.
    pub silence_new: Silence,
    /// Whether responses contain the request id.
    pub echo_id: bool,
    /// The load to report in the header `agatehold-load`, instead of the real
    /// one.
    pub report_load: Option<u32>,
    /// Whether a target without a free slot sheds requests; if not, it runs any
    /// number of requests at once.
    pub shed_when_full: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            delay: Delay::FixedMs(0),
            fail_share: 0.0,
            hang: false,
            flap_period_ms: 0,
            leaving: Drain::No,
            crash_marker: None,
            crash_down_ms: 2_000,
            late_ms: 0,
            cross_next: 0,
            double_next: 0,
            cut: None,
            silence_new: Silence::None,
            echo_id: true,
            report_load: None,
            shed_when_full: true,
        }
    }
}

/// The faults of a connection, set by the state thread.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionFaults {
    /// Which bytes are dropped.
    pub(super) silence: Silence,
    /// After how many bytes the connection is closed, and how.
    pub(super) cut: Option<CutPlan>,
    /// The number of connections still to cut, shared by all connections of
    /// the target.
    pub(super) cuts_left: Arc<AtomicU32>,
    /// Whether the connection is to be reset.
    pub(super) reset: bool,
}

/// Draws the run time of a request from the distribution `delay`.
pub(super) fn sample_run_time(delay: Delay, rng: &mut Pcg64Mcg) -> DurationMs {
    DurationMs(match delay {
        Delay::FixedMs(millis) => millis,
        Delay::UniformMs(low, high) => rng.random_range(low..=high.max(low)),
        Delay::ExponentialMs(mean) => exponential_ms(mean, rng.random::<f64>()),
        Delay::MixedMs(usual, rare, share) => {
            if rng.random::<f64>() < share {
                rare
            } else {
                usual
            }
        }
    })
}

/// Returns the quantile `uniform` of the exponential distribution with the
/// given mean, in whole milliseconds.
fn exponential_ms(mean: u64, uniform: f64) -> u64 {
    let mean_nanos = std::time::Duration::from_millis(mean);
    let factor = -(1.0 - uniform).ln();
    let drawn = mean_nanos.mul_f64(factor.clamp(0.0, 20.0));
    u64::try_from(drawn.as_millis()).unwrap_or(u64::MAX)
}

/// Returns whether a flapping target is in a failing period.
pub(super) fn is_in_failing_period(faults: &Faults, faults_set_at: TimeMs, now: TimeMs) -> bool {
    if faults.flap_period_ms == 0 {
        return false;
    }
    now.since(faults_set_at).0 / faults.flap_period_ms % 2 == 1
}

/// Decrements the number of cuts left; returns false if there were none.
pub(super) fn claim_cut(faults: &ConnectionFaults) -> bool {
    faults
        .cuts_left
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
            left.checked_sub(1)
        })
        .is_ok()
}
