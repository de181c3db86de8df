//! How well the requests of one service fare in one daemon.

use crate::units::DurationMs;
use crate::units::TimeMs;

/// The time after which an ended request counts half.
const HALF_LIFE_MS: DurationMs = DurationMs(1_000);

/// The share of unserved requests from which requests spread over all targets
/// and those on hold are tried more often: no sound target may be left without
/// work once more than a tenth are not served.
const PRESSED_SHARE: f64 = 0.085;

/// The time without an idempotent request after which other requests try
/// targets after a hold.
const IDEMPOTENT_RECENT_MS: DurationMs = DurationMs(2_000);

/// The requests of one service, the recent ones counting most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceRecord {
    served: f64,
    unserved: f64,
    updated_at: TimeMs,
    /// When the last idempotent request came.
    idempotent_at: TimeMs,
}

impl ServiceRecord {
    /// Records that a request came.
    pub fn record_arrival(&mut self, idempotent: bool, now: TimeMs) {
        if idempotent {
            self.idempotent_at = now;
        }
    }

    /// Records whether a request was served.
    pub fn record_end(&mut self, is_served: bool, now: TimeMs) {
        let weight = now.since(self.updated_at).half_life_weight(HALF_LIFE_MS);
        self.served *= weight;
        self.unserved *= weight;
        self.updated_at = now;
        if is_served {
            self.served += 1.0;
        } else {
            self.unserved += 1.0;
        }
    }

    /// Returns whether so many requests are not served that no sound target may
    /// be left without work.
    pub fn is_pressed(&self) -> bool {
        self.unserved > PRESSED_SHARE * (self.served + self.unserved)
    }

    /// Returns whether a request may try a target after a hold: one that may
    /// run more than once, or any where there are no such requests.
    pub fn may_try(&self, idempotent: bool, now: TimeMs) -> bool {
        idempotent || now.since(self.idempotent_at) > IDEMPOTENT_RECENT_MS
    }
}
