//! The faults of one target.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

/// How long a request takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delay {
    /// Always as long.
    FixedMs(u64),
    /// Evenly between two bounds, both included.
    UniformMs(u64, u64),
    /// Exponentially distributed with this mean, at most 20 times the mean.
    ExponentialMs(u64),
    /// The first duration, but the second one for a share of the requests.
    MixedMs(u64, u64, f64),
}

/// Which bytes of a connection are swallowed; the connection stays open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Silence {
    /// None.
    #[default]
    None,
    /// Only those of answers: requests run and their answers are lost.
    Answers,
    /// Those of requests and answers.
    Both,
}

/// What a target that is leaving does with new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Drain {
    /// The target is not leaving.
    #[default]
    No,
    /// It runs the work and says that it is leaving.
    Serve,
    /// It sheds the work and says that it is leaving.
    Shed,
}

/// The direction in which a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutPart {
    /// While the request is received.
    Request,
    /// While the answer is sent.
    Answer,
}

/// How a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutEnd {
    /// With a TCP reset.
    Reset,
    /// With an orderly close.
    Close,
}

/// Cuts a connection after a number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutPlan {
    /// The direction.
    pub part: CutPart,
    /// The number of bytes that still pass; counted for each request anew.
    pub byte: u64,
    /// How the connection ends.
    pub end: CutEnd,
    /// The number of connections to cut.
    pub count: u32,
}

/// The switched faults of one target; the default is a healthy target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// How long a request takes.
    pub delay: Delay,
    /// The share of requests that run and fail with status 500; requests to
    /// `/health` never fail.
    pub fail_share: f64,
    /// Whether requests are taken and never answered.
    pub hang: bool,
    /// The period of flapping: all requests fail in every second one; 0 if
    /// the target does not flap.
    pub flap_period_ms: u64,
    /// What the target does with new work while it is leaving.
    pub leaving: Drain,
    /// A text in a request body that crashes the target.
    pub crash_marker: Option<Box<str>>,
    /// How long a crashed target refuses connections.
    pub crash_down_ms: u64,
    /// How long an answer is held back after the request ended.
    pub late_ms: u64,
    /// The number of answers to come that carry the id and body of another
    /// request.
    pub cross_next: u32,
    /// The number of answers to come that are sent twice.
    pub double_next: u32,
    /// Where connections are cut.
    pub cut: Option<CutPlan>,
    /// The silence of connections that open from now on.
    pub silence_new: Silence,
    /// Whether answers echo the request id.
    pub echo_id: bool,
    /// The load in the load header, in place of the true one.
    pub report_load: Option<u32>,
    /// Whether a full target sheds; if not, it runs any number of requests.
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

/// What the owner of the tables orders for one connection.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionOrder {
    /// Which bytes are swallowed.
    pub(super) silence: Silence,
    /// Where the connection is cut.
    pub(super) cut: Option<CutPlan>,
    /// The connections left to cut, shared by all connections of the target.
    pub(super) cuts_left: Arc<AtomicU32>,
    /// Whether the connection is reset now.
    pub(super) reset: bool,
}

/// Draws how long a request takes.
pub(super) fn draw_delay(delay: Delay, rng: &mut Pcg64Mcg) -> DurationMs {
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

/// Inverts the exponential distribution at `uniform` in whole milliseconds.
fn exponential_ms(mean: u64, uniform: f64) -> u64 {
    let mean_nanos = std::time::Duration::from_millis(mean);
    let factor = -(1.0 - uniform).ln();
    let drawn = mean_nanos.mul_f64(factor.clamp(0.0, 20.0));
    u64::try_from(drawn.as_millis()).unwrap_or(u64::MAX)
}

/// Returns whether a flapping target is in its bad period.
pub(super) fn flaps_now(faults: &Faults, switched_at: TimeMs, now: TimeMs) -> bool {
    if faults.flap_period_ms == 0 {
        return false;
    }
    now.since(switched_at).0 / faults.flap_period_ms % 2 == 1
}

/// Takes one cut from those that are left.
pub(super) fn take_cut(order: &ConnectionOrder) -> bool {
    order
        .cuts_left
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
            left.checked_sub(1)
        })
        .is_ok()
}
