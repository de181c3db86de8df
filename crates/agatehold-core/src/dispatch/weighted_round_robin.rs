//! Divides the requests of a route among its services.

use crate::catalog::WeightedService;

/// The maximum number of requests after which a state starts. The work of creating it grows
/// with this number, and operators may write weights of any size.
const OFFSET_MAX: u64 = 1_000;

/// The state of smooth weighted round robin over the services of a route.
///
/// Over any sequence of requests, each service gets its share to within one
/// request. Random choices would come as close to the shares only over thousands
/// of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedRoundRobin {
    /// How far each service is behind its share, in units of weight; the sum is
    /// zero.
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Creates the state after `offset` requests.
    ///
    /// Daemons use different offsets, so that they don't all send their first
    /// requests to the same service.
    pub fn starting_at(services: &[WeightedService], offset: u32) -> Self {
        let mut cursor = Self::default();
        let total: u64 = services.iter().map(|entry| u64::from(entry.weight)).sum();
        for _ in 0..u64::from(offset) % total.clamp(1, OFFSET_MAX) {
            cursor.next(services);
        }
        cursor
    }

    /// Returns the position in `services` of the service for the next request.
    pub fn next(&mut self, services: &[WeightedService]) -> usize {
        self.credits.resize(services.len(), 0);
        let total: i64 = services.iter().map(|entry| i64::from(entry.weight)).sum();
        let mut chosen = 0;
        for (position, entry) in services.iter().enumerate() {
            self.credits[position] += i64::from(entry.weight);
            if self.credits[position] > self.credits[chosen] {
                chosen = position;
            }
        }
        if let Some(credit) = self.credits.get_mut(chosen) {
            *credit -= total;
        }
        chosen
    }
}
