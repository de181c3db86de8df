//! Tests that the resends of all daemons together stay within the fleet's bound in
//! every window, whatever happens to the daemons and their callers.

mod support;

use std::collections::HashMap;

use proptest::prelude::*;

use agatehold_core::dispatch::ResendBudget;
use agatehold_core::dispatch::ResendBudgets;
use agatehold_core::dispatch::ResendPolicy;
use agatehold_core::ids::ServiceName;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use support::settings;

/// The limits of a service on a fleet of a hundred hosts.
const POLICY: ResendPolicy = ResendPolicy {
    ratio: 0.2,
    slack: 170,
    window_ms: DurationMs(10_000),
};

/// When the daemons learn of each other; their parts of the slack apply before [`START`].
const JOINED_AT: TimeMs = TimeMs(3_600_000);

/// When the requests begin.
const START: TimeMs = TimeMs(3_614_000);

/// The time between two requests of the service, unless a test has its own.
const REQUEST_INTERVAL_MS: DurationMs = DurationMs(2);

/// A fleet whose requests all fail while the targets reject them, and are sent again
/// for as long as a budget allows.
struct Fleet {
    /// One budget a daemon; `None` while its process is down.
    budgets: Vec<Option<ResendBudget>>,
    /// The daemons that the requests go to in turn.
    callers_use: Vec<usize>,
    requests_sent: u64,
    /// When the callers sent a request, in ascending order.
    requests_at: Vec<TimeMs>,
    /// When a request was sent again, in ascending order.
    resends_at: Vec<TimeMs>,
    now: TimeMs,
    /// The time between two requests of the service.
    request_interval_ms: DurationMs,
}

impl Fleet {
    /// Starts daemons that are all entry daemons of the service.
    fn start(daemons: usize) -> Self {
        let mut fleet = Self {
            budgets: Vec::new(),
            callers_use: (0..daemons).collect(),
            requests_sent: 0,
            requests_at: Vec::new(),
            resends_at: Vec::new(),
            now: START,
            request_interval_ms: REQUEST_INTERVAL_MS,
        };
        for _ in 0..daemons {
            fleet.budgets.push(Some(ResendBudget::new(POLICY)));
        }
        for budget in fleet.budgets.iter_mut().flatten() {
            budget.set_entries(daemons as u32, JOINED_AT);
        }
        fleet
    }

    /// Sends requests for `length_ms`; `rejects` tells whether targets reject them.
    fn run(&mut self, length_ms: u64, rejects: bool) {
        let until = self.now + DurationMs(length_ms);
        while self.now < until {
            self.now = self.now + self.request_interval_ms;
            self.requests_at.push(self.now);
            let turn = self.requests_sent as usize % self.callers_use.len();
            self.requests_sent += 1;
            let Some(budget) = &mut self.budgets[self.callers_use[turn]] else {
                continue;
            };
            budget.record_request(self.now);
            while rejects && budget.take(self.now) {
                self.resends_at.push(self.now);
            }
        }
    }

    /// Kills daemons. Callers use the others at once, which learn of it later.
    fn kill(&mut self, killed: &[usize]) {
        for daemon in killed {
            self.budgets[*daemon] = None;
        }
        let budgets = &self.budgets;
        self.callers_use.retain(|daemon| budgets[*daemon].is_some());
    }

    /// Starts the daemons that are down; callers use them at once.
    fn start_again(&mut self) {
        for daemon in 0..self.budgets.len() {
            if self.budgets[daemon].is_none() {
                self.budgets[daemon] = Some(ResendBudget::new(POLICY));
                self.callers_use.push(daemon);
            }
        }
    }

    /// Tells some daemons how many entry daemons there are; 0 if they are none.
    fn tell(&mut self, daemons: &[usize], entries: u32) {
        let now = self.now;
        for daemon in daemons {
            if let Some(budget) = &mut self.budgets[*daemon] {
                budget.set_entries(entries, now);
            }
        }
    }

    /// Lets all daemons know which of them are alive.
    fn tell_entries(&mut self) {
        let now = self.now;
        let alive = self.budgets.iter().flatten().count();
        for budget in self.budgets.iter_mut().flatten() {
            budget.set_entries(alive as u32, now);
        }
    }

    /// Returns the largest excess over the bound, of all windows; negative if the bound
    /// holds. The bound counts the requests in the window, in the one half a window
    /// earlier or in the one before it, whichever has most.
    fn worst_excess(&self) -> f64 {
        let count = |times: &[TimeMs], from: TimeMs, to: TimeMs| {
            let before = |limit: TimeMs| times.partition_point(|at| *at <= limit);
            before(to) - before(from)
        };
        let mut worst = f64::NEG_INFINITY;
        for end in &self.resends_at {
            let resends = count(&self.resends_at, *end - POLICY.window_ms, *end);
            let mut requests = 0;
            for shift_ms in [0, 5_000, 10_000] {
                let to = *end - DurationMs(shift_ms);
                requests = requests.max(count(&self.requests_at, to - POLICY.window_ms, to));
            }
            let bound = POLICY.ratio * requests as f64 + f64::from(POLICY.slack);
            worst = worst.max(resends as f64 - bound);
        }
        worst
    }

    fn assert_within_bound(&self) {
        assert!(!self.resends_at.is_empty(), "nothing was sent again");
        let excess = self.worst_excess();
        assert!(excess <= 0.0, "{excess:.1} resends over the bound");
    }
}

/// Guards against a window of the budget that is longer than the policy's, which counts
/// too many requests under a steady load.
#[test]
fn a_steady_load_of_rejections_stays_within_the_bound() {
    let mut fleet = Fleet::start(24);
    fleet.run(15_000, false);
    fleet.run(35_000, true);
    fleet.assert_within_bound();
}

/// Daemons are killed after they have sent what they saved up. Guards against counting
/// the requests of their callers once more at the daemons that get them next.
#[test]
fn callers_of_killed_daemons_bring_no_second_allowance() {
    for killed in [6, 12, 20] {
        let mut fleet = Fleet::start(24);
        fleet.run(15_000, false);
        fleet.run(1_000, true);
        fleet.kill(&(0..killed).collect::<Vec<_>>());
        fleet.run(1_000, true);
        fleet.tell_entries();
        fleet.run(20_000, true);
        fleet.assert_within_bound();
    }
}

/// Callers leave a part of the daemons for others, all of which stay alive. Guards
/// against the same double count without any process that ends.
#[test]
fn callers_that_move_bring_no_second_allowance() {
    let mut fleet = Fleet::start(24);
    fleet.callers_use = (0..12).collect();
    fleet.run(15_000, false);
    fleet.run(1_000, true);
    fleet.callers_use = (12..24).collect();
    fleet.run(20_000, true);
    fleet.assert_within_bound();
}

/// All processes are killed and started again several times within one window. Guards
/// against an allowance that each start brings anew.
#[test]
fn repeated_starts_bring_no_allowance() {
    let mut fleet = Fleet::start(24);
    fleet.run(15_000, false);
    for _ in 0..6 {
        fleet.run(700, true);
        fleet.kill(&(0..24).collect::<Vec<_>>());
        fleet.start_again();
        fleet.run(300, true);
        fleet.tell_entries();
    }
    fleet.run(15_000, true);
    fleet.assert_within_bound();
}

/// All entry daemons are replaced, and those of before learn of it a second later. Guards
/// against a part of the slack that applies before the others have stopped using theirs
/// for a window.
#[test]
fn replaced_entry_daemons_do_not_spend_the_slack_twice() {
    for (learned_after_ms, interval_ms) in [(600, 2), (1_300, 10), (2_900, 20)] {
        let mut fleet = Fleet::start(6);
        fleet.request_interval_ms = DurationMs(interval_ms);
        let previous: Vec<usize> = (0..3).collect();
        fleet.tell(&previous, 3);
        fleet.tell(&[3, 4, 5], 0);
        fleet.callers_use = previous.clone();
        fleet.run(15_000, false);
        fleet.tell(&[3, 4, 5], 3);
        fleet.run(learned_after_ms - 100, false);
        fleet.run(100, true);
        fleet.tell(&previous, 0);
        fleet.callers_use = vec![3, 4, 5];
        fleet.run(9_890, false);
        fleet.run(14_000, true);
        fleet.assert_within_bound();
    }
}

/// A service leaves the configuration and comes back. Guards against a part of the
/// slack that a daemon keeps all the while and spends at once at the return, when other
/// entry daemons may have spent theirs. A tenth is there at once, as for a new daemon.
#[test]
fn a_service_that_comes_back_has_its_slack_after_a_window() {
    let service: ServiceName = "historial".parse().expect("a service name");
    let mut budgets = ResendBudgets::new(POLICY);
    budgets.set_entries(&HashMap::from([(service.clone(), 3)]), JOINED_AT);
    assert!(budgets.of_service(&service).has_resend(START), "the slack");
    assert_eq!(budgets.take_share_changes(START).len(), 1, "the slack");
    budgets.set_entries(&HashMap::new(), START);
    let changes = budgets.take_share_changes(START);
    assert_eq!(changes.len(), 1, "the service has no entry daemons");
    assert_eq!(changes[0].own_slack, 0.0);
    let back_at = START + DurationMs(1_000);
    budgets.set_entries(&HashMap::from([(service.clone(), 3)]), back_at);
    let tenth = POLICY.slack / 30;
    for _ in 0..tenth {
        assert!(budgets.of_service(&service).take(back_at));
    }
    assert!(!budgets.of_service(&service).take(back_at));
    let just_before = back_at + DurationMs(POLICY.window_ms.0 + 2_999);
    for _ in 0..tenth {
        assert!(budgets.of_service(&service).take(just_before));
    }
    assert!(!budgets.of_service(&service).take(just_before));
    let later = back_at + POLICY.window_ms + DurationMs(3_000);
    assert!(budgets.of_service(&service).take(later));
}

/// Guards against a log without the larger part of the slack, which applies some time
/// after the entry daemons have changed.
#[test]
fn a_part_of_the_slack_is_told_when_it_applies() {
    let service: ServiceName = "historial".parse().expect("a service name");
    let mut budgets = ResendBudgets::new(POLICY);
    budgets.set_entries(&HashMap::from([(service.clone(), 3)]), START);
    let at_once = budgets.take_share_changes(START);
    assert_eq!(at_once.len(), 1);
    assert!(at_once[0].own_slack < f64::from(POLICY.slack) / 4.0 / 3.0);
    assert!(budgets.take_share_changes(START).is_empty(), "told once");
    let later = START + POLICY.window_ms + DurationMs(3_000);
    // A request in between applies the part before anyone asks for the change.
    budgets.of_service(&service).record_request(later);
    let applied = budgets.take_share_changes(later);
    assert_eq!(applied.len(), 1, "the larger part");
    assert_eq!(applied[0].entries, 3);
    assert!(applied[0].own_slack > at_once[0].own_slack);
    assert!(budgets.take_share_changes(later).is_empty(), "told once");
}

proptest! {
    #![proptest_config(settings(48))]

    /// Daemons are killed and started, callers move, and targets reject requests for
    /// some of the time, in any order.
    #[test]
    fn the_fleet_stays_within_the_bound_whatever_happens(
        steps in prop::collection::vec((0_u8..6, 200_u64..6_000, 1_usize..20, any::<bool>()), 4..14),
    ) {
        let mut fleet = Fleet::start(20);
        fleet.run(11_000, false);
        for (event, length_ms, count, rejects) in steps {
            match event {
                0 => {
                    let alive: Vec<usize> = fleet.callers_use.clone();
                    let killed = count.min(alive.len() - 1);
                    fleet.kill(&alive[..killed]);
                }
                1 => fleet.start_again(),
                2 => fleet.tell_entries(),
                3 => {
                    let alive = fleet.budgets.iter().enumerate();
                    let alive: Vec<usize> = alive.filter_map(|(at, budget)| {
                        budget.as_ref().map(|_| at)
                    }).collect();
                    fleet.callers_use = alive.into_iter().rev().take(count).collect();
                }
                _ => {}
            }
            fleet.run(length_ms, rejects);
        }
        let excess = fleet.worst_excess();
        prop_assert!(excess <= 0.0, "{excess:.1} resends over the bound");
    }
}
