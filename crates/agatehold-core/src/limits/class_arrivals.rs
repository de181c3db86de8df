//! How much of the capacity the new requests of each class take.

/// The weight of the newest sample in the moving averages.
const NEWEST_WEIGHT: f64 = 0.05;

/// The work that arrives in each class between two slots, as a moving average of mean
/// requests for each slot.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClassArrivals {
    /// The work since the last slot, in milliseconds.
    since_slot_ms: [f64; 3],
    mean_for_slot: [f64; 3],
}

impl ClassArrivals {
    /// Records a request that begins to wait.
    pub(super) fn record(&mut self, class: usize, cost_ms: f64) {
        self.since_slot_ms[class] += cost_ms;
    }

    /// Records a slot that became free. `mean_cost_ms` is the work that a slot takes on
    /// average.
    pub(super) fn record_free_slot(&mut self, mean_cost_ms: f64) {
        for (mean, since_ms) in self.mean_for_slot.iter_mut().zip(&mut self.since_slot_ms) {
            let sample = *since_ms / mean_cost_ms.max(1.0);
            *mean += (sample - *mean) * NEWEST_WEIGHT;
            *since_ms = 0.0;
        }
    }

    /// Returns the share of the slots that the new requests of classes above `class`
    /// take; it may exceed 1.
    pub(super) fn share_above(&self, class: usize) -> f64 {
        self.mean_for_slot[..class].iter().sum()
    }
}
