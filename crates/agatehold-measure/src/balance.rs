//! Measures how often a balancing policy sends a request to a full target while
//! another target has a free slot.

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use agatehold_core::config::ConfigTables;
use agatehold_core::ids::TargetName;
use agatehold_core::note::Head;
use agatehold_core::routing::RoutingTable;
use agatehold_core::routing::ServiceIndex;
use agatehold_core::routing::TargetCell;
use agatehold_core::routing::build;
use agatehold_core::routing::pick_target;
use agatehold_core::table::Table;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

use crate::simulation::Daemon;
use crate::simulation::Profile;
use crate::simulation::TARGETS;
use crate::simulation::draw_interarrival_ms;
use crate::simulation::draw_latency;
use crate::table::markdown;

/// The seed of every run.
pub const SEED: u64 = 805;

/// The number of requests per run.
const REQUESTS: u32 = 200_000;

/// The average share of slots in use.
const UTILISATION: f64 = 0.6;

/// How a daemon chooses a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each target in turn.
    RoundRobin,
    /// The target with the lowest last reported load.
    LeastReported,
    /// Of two random targets, the one with fewer requests in flight from this
    /// daemon.
    TwoChoicesInFlight,
    /// Of two random targets, the one with the lower load, estimated from the
    /// daemon's own requests and the target's reports.
    TwoChoicesEstimated,
    /// The target with the lowest estimated load; among equal ones, the one not
    /// chosen for longest. This is `pick_target`, which the daemon uses.
    LeastEstimated,
}

/// The policies with their column headings in the report.
pub const POLICIES: [(&str, Policy); 5] = [
    ("round robin", Policy::RoundRobin),
    ("least reported load", Policy::LeastReported),
    ("two choices, own in flight", Policy::TwoChoicesInFlight),
    ("two choices, reported load", Policy::TwoChoicesEstimated),
    ("least estimated load, in turn", Policy::LeastEstimated),
];

/// A daemon's view of the targets.
struct DaemonView {
    table: RoutingTable,
    cells: Vec<Arc<TargetCell>>,
    reported: [u32; TARGETS],
    round_robin_count: usize,
}

impl DaemonView {
    fn new(config: &ConfigTables, round_robin_count: usize) -> Self {
        let mut cells: Table<TargetName, Arc<TargetCell>> = Table::new();
        let table = build(Head::default(), config, &mut cells);
        Self {
            table,
            cells: cells.rows().map(|(_, cell)| Arc::clone(cell)).collect(),
            reported: [0; TARGETS],
            round_robin_count,
        }
    }

    /// Chooses a target and claims one of its slots, as far as this daemon knows.
    /// Returns `None` if all targets look full.
    fn choose(
        &mut self,
        policy: Policy,
        slots: SlotCount,
        now: TimeMs,
        rng: &mut Pcg64,
    ) -> Option<usize> {
        let free: Vec<usize> = (0..TARGETS)
            .filter(|target| self.cells[*target].in_flight() < slots.0)
            .collect();
        if free.is_empty() {
            return None;
        }
        let mut random_free = || free[rng.random_range(0..free.len())];
        let target = match policy {
            Policy::LeastEstimated => {
                let picked = pick_target(&self.table, ServiceIndex(0), &[], now, rng);
                return picked.map(|index| index.position());
            }
            Policy::RoundRobin => {
                self.round_robin_count += 1;
                free[self.round_robin_count % free.len()]
            }
            Policy::LeastReported => {
                let first = random_free();
                let least = free.iter().map(|target| self.reported[*target]).min();
                // Takes a random target if it is among the least loaded, and
                // otherwise the first of those.
                if Some(self.reported[first]) == least {
                    first
                } else {
                    let mut ties = free.iter().filter(|t| Some(self.reported[**t]) == least);
                    ties.next().copied().unwrap_or(first)
                }
            }
            Policy::TwoChoicesInFlight | Policy::TwoChoicesEstimated => {
                let (first, second) = (random_free(), random_free());
                let load = |target: usize| match policy {
                    Policy::TwoChoicesEstimated => self.cells[target].estimated_load(now),
                    _ => f64::from(self.cells[target].in_flight()),
                };
                if load(first) <= load(second) {
                    first
                } else {
                    second
                }
            }
        };
        self.cells[target].try_claim(slots).then_some(target)
    }
}

/// Returns the share of requests that were sent to a full target while another
/// target had a free slot.
pub fn measure(
    policy: Policy,
    daemons: usize,
    slots: SlotCount,
    service_ms: f64,
    requests: u32,
) -> f64 {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let profile = match slots.0 {
        3 => Profile::DetectionFirst,
        _ => Profile::FalseEjectionFirst,
    };
    let config = Daemon::new(0, profile, TARGETS).config;
    let mut nodes: Vec<DaemonView> = (0..daemons)
        .map(|turn| DaemonView::new(&config, turn))
        .collect();
    // The mean of a log-normal latency with sigma 0.5 is e^(0.5 * 0.5^2) times
    // its median.
    let mean_ms = service_ms * 0.125f64.exp();
    let all_slots = f64::from(slots.0) * TARGETS as f64;
    let gap_ms = mean_ms / (UTILISATION * all_slots);
    let mut busy = [0u32; TARGETS];
    let mut running: Vec<(u64, usize, usize)> = Vec::new();
    let (mut at, mut misplaced) = (0.0, 0u32);
    for _ in 0..requests {
        at += draw_interarrival_ms(gap_ms, &mut rng);
        let now = TimeMs(at as u64);
        running.retain(|(ends_at, daemon, target)| {
            if *ends_at > now.0 {
                return true;
            }
            busy[*target] -= 1;
            let node = &mut nodes[*daemon];
            node.cells[*target].release();
            node.cells[*target].report_load(busy[*target], TimeMs(*ends_at));
            node.reported[*target] = busy[*target];
            false
        });
        let daemon = rng.random_range(0..daemons);
        let Some(target) = nodes[daemon].choose(policy, slots, now, &mut rng) else {
            continue;
        };
        if busy[target] < slots.0 {
            busy[target] += 1;
            let ends_at = now.0 + draw_latency(service_ms, &mut rng).0;
            running.push((ends_at, daemon, target));
            continue;
        }
        let node = &mut nodes[daemon];
        node.cells[target].release();
        node.cells[target].report_load(busy[target], now);
        node.reported[target] = busy[target];
        if busy.iter().any(|count| *count < slots.0) {
            misplaced += 1;
        }
    }
    f64::from(misplaced) / f64::from(requests)
}

/// Measures all policies and returns the table.
pub fn report() -> String {
    let mut rows = Vec::new();
    for daemons in [6, 12, 36, 48] {
        for slots in [SlotCount(3), SlotCount(4)] {
            for service_ms in [20.0, 500.0] {
                let mut row = vec![
                    daemons.to_string(),
                    slots.to_string(),
                    format!("{service_ms:.0} ms"),
                ];
                for (_, policy) in POLICIES {
                    let share = measure(policy, daemons, slots, service_ms, REQUESTS);
                    row.push(format!("{:.1}%", share * 100.0));
                }
                rows.push(row);
            }
        }
    }
    let mut headers = vec!["daemons", "slots", "median service time"];
    headers.extend(POLICIES.map(|(name, _)| name));
    markdown(&headers, &rows)
}
