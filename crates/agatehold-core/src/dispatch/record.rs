//! How well the requests of one service fare in one daemon.

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The time after which an ended request counts half.
const HALF_LIFE_MS: DurationMs = DurationMs(1_000);

/// The share of unserved requests from which entry daemons tell each other which
/// targets they use: a floor counts once more than a tenth are not served.
const PRESSED_SHARE: f64 = 0.085;

/// The time without an idempotent request after which other requests try
/// targets after a hold.
const IDEMPOTENT_RECENT_MS: DurationMs = DurationMs(2_000);

/// The time between two reports of a daemon under pressure: a few of them fit in
/// the two seconds of a floor.
const REPORT_EACH_MS: DurationMs = DurationMs(250);

/// The least time between two changes that are told of: a service near the bound
/// would change with each request.
const CHANGE_EACH_MS: DurationMs = DurationMs(1_000);

/// The time that a report reaches back at most.
const REPORT_SPAN_MS: DurationMs = DurationMs(1_000);

/// How many requests ended in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// Those that were served.
    pub served: u32,
    /// Those that were not.
    pub unserved: u32,
}

/// What the entry daemons of a service tell each other while one of them sees the
/// service under pressure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureReport {
    /// Its own requests that have ended since the last report.
    pub counts: EndCounts,
    /// The time of the last report, or when the first of these requests ended.
    pub since: TimeMs,
    /// Whether the daemon sees the service under pressure.
    pub is_pressed: bool,
}

/// That a daemon has begun or ceased to see a service under pressure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PressureChange {
    /// Whether it sees the service under pressure now.
    pub is_pressed: bool,
    /// The daemon's own requests that have ended since its last report.
    pub own: EndCounts,
    /// All served requests that it knows of, the recent ones counting most.
    pub served: f64,
    /// All others.
    pub unserved: f64,
}

/// The requests of one service, the recent ones counting most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceRecord {
    served: f64,
    unserved: f64,
    updated_at: TimeMs,
    /// The daemon's own requests that ended after `reported_at`.
    unreported: EndCounts,
    /// The time of the last report, or later if nothing ended for a while.
    reported_at: TimeMs,
    /// When the last report was made.
    told_at: TimeMs,
    /// When another daemon last reported pressure.
    pressure_heard_at: TimeMs,
    /// When the last idempotent request came.
    idempotent_at: TimeMs,
    /// Whether the last change that was told of began a time of pressure.
    was_pressed: bool,
    /// When it was told of.
    changed_at: TimeMs,
}

impl ServiceRecord {
    /// Records that a request came.
    pub fn record_arrival(&mut self, idempotent: bool, now: TimeMs) {
        if idempotent {
            self.idempotent_at = now;
        }
    }

    /// Records whether a request of this daemon was served.
    pub fn record_end(&mut self, is_served: bool, now: TimeMs) {
        if now.since(self.reported_at) > REPORT_SPAN_MS {
            self.unreported = EndCounts::default();
            self.reported_at = now;
        }
        let counts = EndCounts {
            served: u32::from(is_served),
            unserved: u32::from(!is_served),
        };
        self.unreported.served += counts.served;
        self.unreported.unserved += counts.unserved;
        self.add(counts, now);
    }

    /// Records what another daemon reports of its requests, and whether it sees
    /// the service under pressure.
    pub fn note_report(&mut self, counts: EndCounts, is_pressed: bool, now: TimeMs) {
        if is_pressed {
            self.pressure_heard_at = now;
        }
        self.add(counts, now);
    }

    /// Returns what to tell the other entry daemons, if the last report is old
    /// enough and this daemon or one that it has heard lately sees the service
    /// under pressure: that one has to learn what the others serve.
    pub fn take_report(&mut self, now: TimeMs) -> Option<PressureReport> {
        let is_pressed = self.is_pressed();
        let is_asked = now.since(self.pressure_heard_at) < REPORT_SPAN_MS;
        let is_due = (is_pressed || is_asked) && now.since(self.told_at) >= REPORT_EACH_MS;
        if !is_due {
            return None;
        }
        let report = PressureReport {
            counts: self.unreported,
            since: self.reported_at,
            is_pressed,
        };
        self.unreported = EndCounts::default();
        self.reported_at = now;
        self.told_at = now;
        Some(report)
    }

    fn add(&mut self, counts: EndCounts, now: TimeMs) {
        let weight = now.since(self.updated_at).half_life_weight(HALF_LIFE_MS);
        self.served *= weight;
        self.unserved *= weight;
        self.updated_at = now;
        self.served += f64::from(counts.served);
        self.unserved += f64::from(counts.unserved);
    }

    /// Returns whether the pressure has changed since this was last told, if that
    /// was not a moment ago.
    pub fn take_change(&mut self, now: TimeMs) -> Option<PressureChange> {
        let is_pressed = self.is_pressed();
        let is_change = is_pressed != self.was_pressed;
        if !is_change || now.since(self.changed_at) < CHANGE_EACH_MS {
            return None;
        }
        self.was_pressed = is_pressed;
        self.changed_at = now;
        Some(PressureChange {
            is_pressed,
            own: self.unreported,
            served: self.served,
            unserved: self.unserved,
        })
    }

    /// Returns whether so many requests are not served that the entry daemons tell
    /// each other which targets they use.
    pub fn is_pressed(&self) -> bool {
        self.unserved > PRESSED_SHARE * (self.served + self.unserved)
    }

    /// Returns whether a request may try a target after a hold: one that may
    /// run more than once, or any where there are no such requests.
    pub fn may_try(&self, idempotent: bool, now: TimeMs) -> bool {
        idempotent || now.since(self.idempotent_at) > IDEMPOTENT_RECENT_MS
    }
}
