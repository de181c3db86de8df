//! Counts served and unserved requests of one service in one daemon and decides
//! when to tell the other entry daemons about them.

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The time after which the weight of an ended request has halved.
const HALF_LIFE_MS: DurationMs = DurationMs(1_000);

/// The share of unserved requests above which a service is under pressure and
/// its entry daemons tell each other which targets they use. It lies below the
/// tenth of unserved requests above which a floor counts.
const PRESSURE_THRESHOLD_SHARE: f64 = 0.085;

/// The time without an idempotent request after which other requests may try
/// targets after a hold.
const IDEMPOTENT_RECENT_MS: DurationMs = DurationMs(2_000);

/// The time between two reports of a daemon under pressure, short enough for
/// several of them in the two seconds over which a floor is measured.
const REPORT_INTERVAL_MS: DurationMs = DurationMs(250);

/// The time between two reports otherwise: two of them arrive before other daemons
/// take a target for unused, should one be lost.
const CALM_REPORT_INTERVAL_MS: DurationMs = DurationMs(500);

/// The minimum time between two reported pressure changes, since the state of
/// a service near [`PRESSURE_THRESHOLD_SHARE`] could change with each request.
const CHANGE_INTERVAL_MIN_MS: DurationMs = DurationMs(1_000);

/// The longest time that a report covers.
const REPORT_SPAN_MAX_MS: DurationMs = DurationMs(1_000);

/// The number of ended requests by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedCounts {
    /// Requests that were served.
    pub served: u32,
    /// Requests that were not served.
    pub unserved: u32,
}

/// The report that the entry daemons of a service send each other, more often while
/// one of them sees the service under pressure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureReport {
    /// The daemon's own requests that have ended since `since`.
    pub counts: ServedCounts,
    /// The time of the last report, or when the first of these requests ended.
    pub since: TimeMs,
    /// Whether the daemon sees the service under pressure.
    pub is_pressed: bool,
}

/// A change of whether a daemon sees a service under pressure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PressureChange {
    /// Whether the daemon sees the service under pressure now.
    pub is_pressed: bool,
    /// The daemon's own requests that have ended since its last report.
    pub own: ServedCounts,
    /// The served requests of all daemons that this one knows of, weighted by
    /// exponential decay.
    pub served: f64,
    /// The unserved requests, counted in the same way.
    pub unserved: f64,
}

/// Statistics on the requests of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceStats {
    /// Served requests of this and other daemons, halved each [`HALF_LIFE_MS`].
    served: f64,
    /// Unserved requests, counted in the same way.
    unserved: f64,
    /// The time for which the two counts were last decayed.
    updated_at: TimeMs,
    /// The daemon's own requests that ended after `unreported_since`.
    unreported: ServedCounts,
    /// The start of the time that the next report covers: the time of the last
    /// report, or a later time if that was more than [`REPORT_SPAN_MAX_MS`] ago.
    unreported_since: TimeMs,
    /// When the last report was made.
    last_report_at: TimeMs,
    /// When another daemon last reported pressure.
    peer_pressure_at: TimeMs,
    /// When the last idempotent request arrived.
    last_idempotent_at: TimeMs,
    /// Whether the service was under pressure according to the last reported
    /// change.
    reported_pressed: bool,
    /// When that change was reported.
    change_reported_at: TimeMs,
}

impl ServiceStats {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, idempotent: bool, now: TimeMs) {
        if idempotent {
            self.last_idempotent_at = now;
        }
    }

    /// Records the end of a request of this daemon and whether it was served.
    pub fn record_end(&mut self, is_served: bool, now: TimeMs) {
        if now.since(self.unreported_since) > REPORT_SPAN_MAX_MS {
            self.unreported = ServedCounts::default();
            self.unreported_since = now;
        }
        let counts = ServedCounts {
            served: u32::from(is_served),
            unserved: u32::from(!is_served),
        };
        self.unreported.served += counts.served;
        self.unreported.unserved += counts.unserved;
        self.add(counts, now);
    }

    /// Records the request counts of another daemon, and whether that daemon
    /// sees the service under pressure.
    pub fn record_peer_report(&mut self, counts: ServedCounts, is_pressed: bool, now: TimeMs) {
        if is_pressed {
            self.peer_pressure_at = now;
        }
        self.add(counts, now);
    }

    /// Returns the report to send to the other entry daemons, if one is due.
    ///
    /// A report is due [`REPORT_INTERVAL_MS`] after the last one if this daemon sees
    /// the service under pressure or another one has reported pressure recently, and
    /// otherwise after [`CALM_REPORT_INTERVAL_MS`].
    pub fn take_report(&mut self, now: TimeMs) -> Option<PressureReport> {
        let is_pressed = self.is_pressed();
        let is_peer_pressed = now.since(self.peer_pressure_at) < REPORT_SPAN_MAX_MS;
        let interval_ms = if is_pressed || is_peer_pressed {
            REPORT_INTERVAL_MS
        } else {
            CALM_REPORT_INTERVAL_MS
        };
        if now.since(self.last_report_at) < interval_ms {
            return None;
        }
        let report = PressureReport {
            counts: self.unreported,
            since: self.unreported_since,
            is_pressed,
        };
        self.unreported = ServedCounts::default();
        self.unreported_since = now;
        self.last_report_at = now;
        Some(report)
    }

    /// Adds counts of ended requests after decaying the earlier ones.
    fn add(&mut self, counts: ServedCounts, now: TimeMs) {
        let weight = now.since(self.updated_at).half_life_weight(HALF_LIFE_MS);
        self.served *= weight;
        self.unserved *= weight;
        self.updated_at = now;
        self.served += f64::from(counts.served);
        self.unserved += f64::from(counts.unserved);
    }

    /// Returns the change to report if the service has come under pressure or is
    /// no longer under pressure, unless the last change was reported less than
    /// [`CHANGE_INTERVAL_MIN_MS`] ago.
    pub fn take_change(&mut self, now: TimeMs) -> Option<PressureChange> {
        let is_pressed = self.is_pressed();
        let is_change = is_pressed != self.reported_pressed;
        if !is_change || now.since(self.change_reported_at) < CHANGE_INTERVAL_MIN_MS {
            return None;
        }
        self.reported_pressed = is_pressed;
        self.change_reported_at = now;
        Some(PressureChange {
            is_pressed,
            own: self.unreported,
            served: self.served,
            unserved: self.unserved,
        })
    }

    /// Returns whether the service is under pressure: the share of unserved
    /// requests is so high that the entry daemons tell each other which targets
    /// they use.
    pub fn is_pressed(&self) -> bool {
        self.unserved > PRESSURE_THRESHOLD_SHARE * (self.served + self.unserved)
    }

    /// Returns whether a request may try a target after a hold. Idempotent
    /// requests may; others may if no idempotent one has arrived recently.
    pub fn may_try(&self, idempotent: bool, now: TimeMs) -> bool {
        idempotent || now.since(self.last_idempotent_at) > IDEMPOTENT_RECENT_MS
    }
}
