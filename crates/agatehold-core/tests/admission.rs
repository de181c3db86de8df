//! Tests the order, fairness and limits of the admission queue and of the
//! tenants' token buckets.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rand_pcg::Pcg32;

use agatehold_core::config::TenantRow;
use agatehold_core::config::TrafficClass;
use agatehold_core::ids::TenantName;
use agatehold_core::limits::Admission;
use agatehold_core::limits::AdmissionQueue;
use agatehold_core::limits::MAX_MISSED_SLOTS;
use agatehold_core::limits::Offer;
use agatehold_core::limits::QueueLimits;
use agatehold_core::limits::RetryWindow;
use agatehold_core::limits::TenantBuckets;
use agatehold_core::limits::WaiterId;
use agatehold_core::limits::spread_retry_after;
use agatehold_core::units::DurationMs;
use agatehold_core::units::RequestsPerSecond;
use agatehold_core::units::TimeMs;

const CLASSES: [TrafficClass; 3] = [
    TrafficClass::Urgent,
    TrafficClass::Normal,
    TrafficClass::Batch,
];

#[derive(Clone, Copy, Debug)]
enum Op {
    Offer {
        tenant: usize,
        class: usize,
        timeout_ms: u64,
        has_free_slot: bool,
    },
    SlotFree,
    Expire,
    Cancel(usize),
    /// Advances the time by a number of milliseconds.
    AdvanceTime(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let offer = (
        0..4_usize,
        0..3_usize,
        1..3_000_u64,
        prop::bool::weighted(0.1),
    )
        .prop_map(|(tenant, class, timeout_ms, has_free_slot)| Op::Offer {
            tenant,
            class,
            timeout_ms,
            has_free_slot,
        });
    let op = prop_oneof![
        10 => offer,
        6 => Just(Op::SlotFree),
        1 => Just(Op::Expire),
        1 => (0..8_usize).prop_map(Op::Cancel),
        3 => (0..60_u64).prop_map(Op::AdvanceTime),
    ];
    vec(op, 1..250)
}

fn tenant(index: usize) -> TenantName {
    format!("tenant-{index}").parse().unwrap()
}

#[derive(Clone, Debug)]
struct Waiting {
    tenant: usize,
    class: usize,
    deadline: TimeMs,
    offered_at: TimeMs,
}

/// A reference model of the queue, which checks every choice of the queue.
#[derive(Default)]
struct Model {
    now: TimeMs,
    waiting: BTreeMap<WaiterId, Waiting>,
    /// For each class, the slots that other classes got while it had requests
    /// waiting, since it last got one.
    slots_missed: [u32; 3],
    /// By class, waiting tenant and served tenant: how often the second tenant
    /// was served while the first one waited.
    skipped: BTreeMap<(usize, usize, usize), u32>,
}

impl Model {
    fn serve(&mut self, waiter: WaiterId, limits: QueueLimits) {
        let served = self
            .waiting
            .remove(&waiter)
            .expect("served a request that was not waiting");
        assert!(
            self.now < served.deadline,
            "gave a slot to a request past its deadline"
        );
        let waited = self.now.since(served.offered_at);
        assert!(
            waited < limits.wait_ms,
            "gave a slot to a request past its queue wait limit"
        );
        for other in self.waiting.values() {
            let same = other.tenant == served.tenant && other.class == served.class;
            let older = other.offered_at < served.offered_at;
            assert!(!(same && older), "served a tenant's requests out of order");
        }
        let others: Vec<Waiting> = self.waiting.values().cloned().collect();
        for class in 0..3 {
            if class == served.class || !others.iter().any(|other| other.class == class) {
                continue;
            }
            self.slots_missed[class] += 1;
            let bound = 2 * MAX_MISSED_SLOTS + 2;
            assert!(self.slots_missed[class] <= bound, "class {class} starved");
            if class < served.class {
                let missed = self.slots_missed[served.class];
                assert!(
                    missed >= MAX_MISSED_SLOTS,
                    "class {class} lost a slot to a lower-priority class too early"
                );
            }
        }
        self.slots_missed[served.class] = 0;
        for first in 0..4 {
            let key = (served.class, first, served.tenant);
            let waits = |other: &Waiting| other.class == served.class && other.tenant == first;
            if first == served.tenant || !others.iter().any(waits) {
                self.skipped.remove(&key);
                continue;
            }
            let skipped = self.skipped.entry(key).or_insert(0);
            *skipped += 1;
            assert!(
                *skipped <= 1,
                "tenant {first} waited while another tenant was served twice"
            );
        }
        self.forget_skips(served.class, served.tenant);
    }

    fn forget_skips(&mut self, class: usize, tenant: usize) {
        self.skipped
            .retain(|(of, first, _), _| *of != class || *first != tenant);
    }

    /// Clears the counts of tenants that no longer wait.
    fn clear_idle_tenants(&mut self) {
        for class in 0..3 {
            for tenant in 0..4 {
                let waits = |other: &Waiting| other.class == class && other.tenant == tenant;
                if !self.waiting.values().any(waits) {
                    self.forget_skips(class, tenant);
                }
            }
        }
    }
}

/// Guards against serving requests in the wrong order, which lets a backlog of
/// batch work (reports) delay urgent work (releasing a container at the port),
/// and against losing a request, whose caller would never get an answer.
#[test]
fn queue_keeps_order_fairness_and_bounds() {
    let config = Config {
        cases: 1_500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let limits = QueueLimits {
        places: 24,
        wait_ms: DurationMs(1_000),
    };
    let result = TestRunner::new_with_rng(config, rng).run(&ops(), |ops| {
        let mut queue = AdmissionQueue::new(limits);
        let mut model = Model::default();
        for op in ops {
            run_op(op, &mut queue, &mut model, limits);
            model.clear_idle_tenants();
            assert!(
                queue.len() <= limits.places,
                "queue is longer than its limit"
            );
        }
        model.now = model.now + DurationMs(5_000);
        for dropped in queue.expire(model.now) {
            assert!(model.waiting.remove(&dropped.waiter).is_some());
        }
        assert!(
            model.waiting.is_empty() && queue.is_empty(),
            "requests left in the queue or lost from it"
        );
        Ok(())
    });
    result.unwrap();
}

fn run_op(op: Op, queue: &mut AdmissionQueue, model: &mut Model, limits: QueueLimits) {
    match op {
        Op::Offer {
            tenant: index,
            class,
            timeout_ms,
            has_free_slot,
        } => {
            let offer = Offer {
                tenant: tenant(index),
                class: CLASSES[class],
                deadline: model.now + DurationMs(timeout_ms),
                expected_run_ms: None,
                caller_deadline: None,
            };
            let deadline = offer.deadline;
            match queue.offer(offer, has_free_slot, model.now) {
                Admission::Admitted => assert!(has_free_slot && queue.is_empty()),
                Admission::Refused { .. } => {}
                Admission::Queued { waiter, displaced } => {
                    if let Some(displaced) = displaced {
                        assert!(model.waiting.remove(&displaced.waiter).is_some());
                    }
                    let waiting = Waiting {
                        tenant: index,
                        class,
                        deadline,
                        offered_at: model.now,
                    };
                    assert!(model.waiting.insert(waiter, waiting).is_none());
                }
            }
        }
        Op::SlotFree => {
            let chosen = queue.assign_free_slot(model.now);
            // Remove the requests that expired in this call before checking the
            // choice.
            for dropped in queue.expire(model.now) {
                assert!(model.waiting.remove(&dropped.waiter).is_some());
            }
            match chosen {
                Some(waiter) => model.serve(waiter, limits),
                None => assert!(
                    model.waiting.is_empty(),
                    "a slot stayed free while requests waited"
                ),
            }
        }
        Op::Expire => {
            for dropped in queue.expire(model.now) {
                assert!(model.waiting.remove(&dropped.waiter).is_some());
            }
        }
        Op::Cancel(pick) => {
            if let Some(waiter) = model.waiting.keys().nth(pick).copied() {
                queue.cancel(waiter);
                model.waiting.remove(&waiter);
            }
        }
        Op::AdvanceTime(ms) => model.now = model.now + DurationMs(ms),
    }
}

/// Guards against one tenant that fills the queue keeping other tenants out.
#[test]
fn full_queue_makes_room_for_another_tenant() {
    let limits = QueueLimits {
        places: 16,
        wait_ms: DurationMs(1_000),
    };
    let mut queue = AdmissionQueue::new(limits);
    let offer = |index| Offer {
        tenant: tenant(index),
        class: TrafficClass::Urgent,
        deadline: TimeMs(10_000),
        expected_run_ms: None,
        caller_deadline: None,
    };
    for _ in 0..16 {
        queue.offer(offer(0), false, TimeMs(0));
    }
    let refused = queue.offer(offer(0), false, TimeMs(0));
    assert!(matches!(refused, Admission::Refused { .. }));
    let taken = queue.offer(offer(1), false, TimeMs(0));
    let Admission::Queued { displaced, .. } = taken else {
        panic!("{taken:?}");
    };
    assert!(displaced.is_some());
    assert_eq!(queue.len(), 16);
}

/// Guards against a tenant exceeding its rate limit, which crowds out other
/// tenants. That would also happen if a bucket was dropped before it was full
/// again. Buckets that are full must be dropped.
#[test]
fn bucket_holds_its_rate_and_forgets_idle_tenants() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = vec((0..20_usize, 0..400_u64), 1..400);
    let policy = TenantRow {
        class: TrafficClass::Normal,
        rate_per_s: RequestsPerSecond::new(2.0).unwrap(),
        burst: 5,
    };
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut buckets = TenantBuckets::new();
        let mut now = TimeMs(0);
        let mut taken: BTreeMap<usize, u32> = BTreeMap::new();
        for (index, pause_ms) in steps {
            now = now + DurationMs(pause_ms);
            // Two in three arrivals come from one tenant.
            let index = if index < 13 { 0 } else { index };
            if buckets.take(&tenant(index), &policy, now).is_ok() {
                let taken = taken.entry(index).or_insert(0);
                *taken += 1;
                let most = 5.0 + 2.0 * now.0 as f64 / 1_000.0;
                assert!(
                    f64::from(*taken) <= most,
                    "{taken} requests admitted, limit {most}"
                );
            }
        }
        for _ in 0..200 {
            now = now + DurationMs(1_000);
            let _ = buckets.take(&tenant(99), &policy, now);
        }
        assert!(buckets.len() <= 1, "{} idle buckets kept", buckets.len());
        Ok(())
    });
    result.unwrap();
}

/// Guards against callers that are refused together retrying together.
#[test]
fn retry_after_is_spread() {
    let mut rng = Pcg32::new(7, 11);
    let window = RetryWindow::after(DurationMs(4_000));
    let mut seconds = BTreeMap::new();
    for _ in 0..1_000 {
        let delay = spread_retry_after(window, &mut rng);
        assert_eq!(delay.0 % 1_000, 0);
        *seconds.entry(delay.0 / 1_000).or_insert(0) += 1;
    }
    assert!(seconds.len() >= 8, "{seconds:?}");
    assert!(seconds.values().all(|count| *count < 200), "{seconds:?}");
}
