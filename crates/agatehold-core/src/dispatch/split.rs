//! Divides the requests of a route among its services.

use crate::catalog::WeightedService;

/// Where a route's sequence of services stands.
///
/// The sequence is smooth weighted round robin: over any run of requests each
/// service has its share, give or take one request, which random draws reach
/// only over thousands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SplitCursor {
    /// How far each service is behind its share, in weights; sums to zero.
    credits: Vec<i64>,
}

impl SplitCursor {
    /// Creates a cursor at a place of the sequence that differs between
    /// daemons, so that they don't send their first requests to one service.
    pub fn starting_at(services: &[WeightedService], offset: u32) -> Self {
        let mut cursor = Self::default();
        let total: u32 = services.iter().map(|entry| entry.weight).sum();
        for _ in 0..offset % total.max(1) {
            cursor.next(services);
        }
        cursor
    }

    /// Returns the position of the service of the next request.
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
