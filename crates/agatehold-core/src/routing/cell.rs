//! The live state of one target, shared by all threads.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::units::DurationMs;
use crate::units::Percent;
use crate::units::SlotCount;
use crate::units::TimeMs;

/// The time after which the weight of a load report has halved.
const LOAD_REPORT_HALF_LIFE_MS: DurationMs = DurationMs(200);

/// The age from which a load report counts for nothing. Its weight alone never
/// reaches 0, so that the target would come after every target without load, however
/// old the report is: a daemon left targets unused for 22 s, and saw no failure of
/// theirs. With 1 s, daemons that seldom send to a target meet full ones more often
/// (`docs/MEASUREMENTS.md`).
const LOAD_REPORT_AGE_MAX_MS: DurationMs = DurationMs(2_000);

/// The preference with which a target is chosen for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Preference {
    /// The target is chosen first.
    Preferred = 0,
    /// The target is ramping up and is chosen less often.
    Ramping = 1,
    /// The target is chosen only if no other has a free slot, so that avoiding
    /// it does not reduce the capacity of the service.
    Avoided = 2,
}

/// The live state of one target.
///
/// The control thread writes the verdicts, traffic threads write the counts. A
/// cell is kept when a routing table is replaced.
#[derive(Debug, Default)]
pub struct TargetCell {
    /// The number of requests that this daemon has sent and that have not ended;
    /// at most the slots of the target.
    in_flight: AtomicU32,
    /// The number of requests of other daemons in the target according to its last
    /// load report.
    reported_others: AtomicU32,
    /// The number of slots that are assigned to this daemon; at most the slots of
    /// the target.
    home_slots: AtomicU32,
    /// When the last load report arrived, in milliseconds; 0 before the first.
    reported_at_ms: AtomicU64,
    /// When this daemon last chose the target, in milliseconds.
    chosen_at_ms: AtomicU64,
    /// A [`Preference`] as a number.
    preference: AtomicU8,
    /// The share of its usual requests that a ramping target gets, in percent.
    ramp_percent: AtomicU8,
    /// Whether one idempotent request may be sent to the avoided target as a
    /// trial.
    trial: AtomicBool,
    /// Until when the target is excluded; 0 if it is not.
    excluded_until_ms: AtomicU64,
    /// Whether the target is leaving.
    leaving: AtomicBool,
}

impl TargetCell {
    /// Claims a slot; returns false if none is free.
    pub fn try_claim(&self, slots: SlotCount) -> bool {
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
                (count < slots.0).then_some(count + 1)
            })
            .is_ok()
    }

    /// Releases a slot claimed by [`TargetCell::try_claim`].
    pub fn release(&self) {
        let previous = self.in_flight.fetch_sub(1, Ordering::AcqRel);
        debug_assert!(previous > 0, "released a slot that was not claimed");
    }

    /// Returns the number of this daemon's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Sets the number of slots that are assigned to this daemon.
    pub fn set_home_slots(&self, slots: SlotCount) {
        self.home_slots.store(slots.0, Ordering::Release);
    }

    /// Returns the number of slots that are assigned to this daemon.
    pub fn home_slots(&self) -> SlotCount {
        SlotCount(self.home_slots.load(Ordering::Acquire))
    }

    /// Stores the target's load report; `in_target` is the number of requests in
    /// the target, including those of this daemon.
    pub fn report_load(&self, in_target: u32, now: TimeMs) {
        let others = in_target.saturating_sub(self.in_flight());
        self.reported_others.store(others, Ordering::Relaxed);
        self.reported_at_ms.store(now.0, Ordering::Relaxed);
    }

    /// Returns the number of requests of other daemons according to the last load
    /// report, and the report's age; `None` before the first report.
    pub fn load_report(&self, now: TimeMs) -> Option<(u32, DurationMs)> {
        let reported_at_ms = self.reported_at_ms.load(Ordering::Relaxed);
        if reported_at_ms == 0 {
            return None;
        }
        let others = self.reported_others.load(Ordering::Relaxed);
        Some((others, now.since(TimeMs(reported_at_ms))))
    }

    /// Returns the estimated number of requests in the target: those of this
    /// daemon, plus those of others according to the last report, halved for each
    /// half-life of the report's age; a report that is older than two seconds counts
    /// for nothing.
    pub fn estimated_load(&self, now: TimeMs) -> f64 {
        let own = f64::from(self.in_flight());
        let age = now.since(TimeMs(self.reported_at_ms.load(Ordering::Relaxed)));
        if age >= LOAD_REPORT_AGE_MAX_MS {
            return own;
        }
        let weight = age.half_life_weight(LOAD_REPORT_HALF_LIFE_MS);
        let others = f64::from(self.reported_others.load(Ordering::Relaxed));
        own + others * weight
    }

    /// Records that the target was chosen.
    pub fn record_choice(&self, now: TimeMs) {
        self.chosen_at_ms.store(now.0, Ordering::Relaxed);
    }

    /// Returns when this daemon last chose the target.
    pub fn chosen_at(&self) -> TimeMs {
        TimeMs(self.chosen_at_ms.load(Ordering::Relaxed))
    }

    /// Sets the preference with which the target is chosen.
    pub fn set_preference(&self, preference: Preference) {
        self.preference.store(preference as u8, Ordering::Release);
    }

    /// Returns the preference with which the target is chosen.
    pub fn preference(&self) -> Preference {
        match self.preference.load(Ordering::Acquire) {
            0 => Preference::Preferred,
            1 => Preference::Ramping,
            _ => Preference::Avoided,
        }
    }

    /// Sets the share of its usual requests that the target gets while ramping.
    pub fn set_ramp_share(&self, share: Percent) {
        self.ramp_percent.store(share.get(), Ordering::Release);
    }

    /// Returns the share of its usual requests that the target gets while ramping.
    pub fn ramp_share(&self) -> Percent {
        Percent::new(self.ramp_percent.load(Ordering::Acquire)).unwrap_or(Percent::HUNDRED)
    }

    /// Sets whether one idempotent request may be sent to the target as a trial.
    pub fn set_trial(&self, trial: bool) {
        self.trial.store(trial, Ordering::Release);
    }

    /// Returns whether a trial may be sent to the target.
    pub fn has_trial(&self) -> bool {
        self.trial.load(Ordering::Acquire)
    }

    /// Takes the permission to send a trial; returns false if there was none.
    pub fn take_trial(&self) -> bool {
        self.trial.swap(false, Ordering::AcqRel)
    }

    /// Excludes the target until `until`; `None` ends the exclusion.
    pub fn set_excluded_until(&self, until: Option<TimeMs>) {
        let until_ms = until.map_or(0, |time| time.0);
        self.excluded_until_ms.store(until_ms, Ordering::Release);
    }

    /// Returns whether the target is excluded at `now`.
    ///
    /// Callers check this for each choice of a target, so that a daemon process
    /// that was paused does not exclude a target on the basis of a permit that it
    /// has not confirmed since.
    pub fn is_excluded(&self, now: TimeMs) -> bool {
        now.0 < self.excluded_until_ms.load(Ordering::Acquire)
    }

    /// Sets whether the target is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Returns whether the target is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}
