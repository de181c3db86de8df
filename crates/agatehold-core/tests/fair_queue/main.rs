//! Tests who is served when tenants share the slots of a service by work, under the
//! loads that the sharing is made for.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

mod load;

use agatehold_core::config::TrafficClass;
use agatehold_core::limits::Admission;
use agatehold_core::limits::AdmissionQueue;
use agatehold_core::limits::Offer;
use agatehold_core::limits::QueueLimits;
use agatehold_core::limits::TenantSharing;
use agatehold_core::limits::WaiterId;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use load::Load;
use load::Refused;
use load::Stream;
use load::StreamResult;
use load::run;
use load::total;

/// The slots of the simulated service.
const SLOTS: u32 = 40;

/// The mean run time. With 40 slots, the service runs 800 requests a second.
const COST_MS: u64 = 50;

const CAPACITY_PER_S: f64 = SLOTS as f64 * 1_000.0 / COST_MS as f64;

fn stream(class: usize, load: f64) -> Stream {
    Stream {
        class,
        rate_per_s: load * CAPACITY_PER_S,
        surge_factor: 1.0,
        cost_ms: COST_MS,
        expected_ms: COST_MS,
        refused: Refused::GivesUp,
    }
}

fn load_of(streams: Vec<Stream>) -> Load {
    Load {
        streams,
        slots: SLOTS,
        surge: 0..20_000,
        half_of_slots: 0..0,
        timeout_ms: 1_000,
        end_ms: 20_000,
    }
}

/// Returns 77 tenants with sizes by Zipf's law with an exponent of 1.2, which use a share
/// of the capacity together.
fn zipf_tenants(load: f64) -> Vec<Stream> {
    let sizes: Vec<f64> = (1..=77).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let sum: f64 = sizes.iter().sum();
    let tenants = sizes.iter().map(|size| stream(0, load * size / sum));
    tenants.collect()
}

/// Returns the least served share of the tenants, those with few requests left out, since
/// a few refusals are a large share of theirs.
fn least_served(results: &[StreamResult]) -> f64 {
    let counted = results.iter().filter(|result| result.offered >= 30);
    counted.map(StreamResult::served).fold(1.0, f64::min)
}

/// Load: one tenant with 7 times its usual beside 76 others. Guards against its requests
/// delaying those of the others, which use less than their share.
#[test]
fn a_tenant_with_seven_times_its_usual_delays_no_other() {
    let mut tenants = zipf_tenants(0.75);
    tenants[0].surge_factor = 7.0;
    let results = run(&load_of(tenants), 1);
    let others = total(&results[1..]);
    let served = (others.served(), least_served(&results[1..]));
    assert!(served.0 > 0.99 && served.1 > 0.97, "{served:?}");
    assert!(others.p99_wait_ms() < 100, "{} ms", others.p99_wait_ms());
    assert!(total(&results).work_ms > 19_000 * u64::from(SLOTS));
}

/// Load: a burst of 2.4 times of the least urgent kind on the slots of the most urgent
/// one. Guards against a lower class taking more than one slot in 31 ahead of a higher one.
#[test]
fn a_burst_of_the_least_urgent_kind_takes_nothing_from_the_most_urgent() {
    let mut batch = stream(2, 0.45);
    batch.surge_factor = 2.4;
    let results = run(&load_of(vec![stream(0, 0.6), batch]), 2);
    let served = (results[0].served(), results[1].served());
    assert!(served.0 > 0.99 && served.0 > served.1, "{served:?}");
    assert!(results[0].p99_wait_ms() < 50);
}

/// Load: the most urgent kind alone fills the queue, the least urgent one comes on top.
/// Guards against places or slots in reserve beyond one in 31 for the lower class, and
/// against the lower class starving.
#[test]
fn a_full_queue_reserves_one_slot_in_31_for_the_lower_class() {
    let results = run(&load_of(vec![stream(0, 2.0), stream(2, 0.5)]), 3);
    let total_ms = total(&results).work_ms as f64;
    let share = results[1].work_ms as f64 / total_ms;
    assert!((0.02..0.035).contains(&share), "{share}");
    assert!(results[1].served() < results[0].served() + 0.05);
}

/// Load: requests that cost 1 to 20 in one class, twice the capacity. Guards against
/// tenants with expensive requests getting more of the run time than others.
#[test]
fn tenants_share_by_work_with_costs_from_1_to_20() {
    let costs = [10, 20, 50, 100, 200];
    // The costs are known in the first case and found out afterwards in the second.
    for is_known in [true, false] {
        let mut tenants = Vec::new();
        for cost_ms in costs {
            let mut tenant = stream(0, 0.4);
            tenant.rate_per_s *= COST_MS as f64 / cost_ms as f64;
            tenant.cost_ms = cost_ms;
            tenant.expected_ms = if is_known { cost_ms } else { COST_MS };
            tenants.push(tenant);
        }
        let results = run(&load_of(tenants), 4);
        let work: Vec<u64> = results.iter().map(|result| result.work_ms).collect();
        let mean = total(&results).work_ms as f64 / costs.len() as f64;
        for tenant_ms in &work {
            let share = *tenant_ms as f64 / mean;
            assert!((0.85..1.15).contains(&share), "{is_known}: {work:?}");
        }
        let late: Vec<u32> = results.iter().map(|result| result.late).collect();
        assert!(late.iter().sum::<u32>() == 0, "{is_known}: {late:?}");
    }
}

/// Load: half of the targets reject everything for 8 s. Guards against requests that wait
/// only to be refused at their limit, answers after the deadline, and starved tenants.
#[test]
fn requests_are_refused_at_once_while_half_of_the_targets_reject() {
    let mut load = load_of(zipf_tenants(0.9));
    load.half_of_slots = 6_000..14_000;
    let results = run(&load, 5);
    let all = total(&results);
    let refused = all.refusals + all.displaced + all.expired;
    assert!(all.late == 0 && refused > 1_000, "{} {refused}", all.late);
    let expired = f64::from(all.expired) / f64::from(refused);
    assert!(
        expired < 0.05,
        "{expired} of the refusals after the longest wait"
    );
    let least = least_served(&results);
    assert!(least > all.served() / 4.0, "{least} {}", all.served());
}

/// Load: one tenant sends 7 times its usual and its callers retry at once three times.
/// Guards against retries buying a larger share.
#[test]
fn callers_that_retry_at_once_gain_nothing() {
    let mut tenants = zipf_tenants(0.75);
    tenants[0].surge_factor = 7.0;
    let patient = run(&load_of(tenants.clone()), 6);
    tenants[0].refused = Refused::RetriesAtOnce;
    let results = run(&load_of(tenants), 6);
    let others = total(&results[1..]);
    assert!(others.served() > 0.99, "{}", others.served());
    let gain = results[0].work_ms as f64 / patient[0].work_ms as f64;
    assert!(gain < 1.02, "{gain}");
}

/// Load: 400 ms at 5.6 times the capacity, or 3 s at twice the capacity, and refused
/// callers that come back as told. Guards against their coming back together: in the time
/// in which they can return, no 200 ms bring more than 1.5 times the mean.
#[test]
fn refused_callers_come_back_without_a_wave() {
    for (length_ms, factor) in [(400, 8.0), (3_000, 3.0)] {
        for timeout_ms in [1_200, 3_000, 9_000] {
            let mut load = load_of(zipf_tenants(0.7));
            for tenant in &mut load.streams {
                tenant.surge_factor = factor;
                tenant.refused = Refused::ReturnsAsTold;
            }
            load.surge = 2_000..2_000 + length_ms;
            load.timeout_ms = timeout_ms;
            let all = total(&run(&load, 7));
            let mut by_window = vec![0_u32; (timeout_ms / 3 / 200) as usize];
            for at in &all.arrivals {
                if let Some(after) = at.checked_sub(load.surge.end)
                    && let Some(window) = by_window.get_mut((after / 200) as usize)
                {
                    *window += 1;
                }
            }
            let mean = f64::from(by_window.iter().sum::<u32>()) / by_window.len() as f64;
            let highest = f64::from(by_window.iter().copied().max().unwrap());
            assert!(highest < 1.5 * mean, "{timeout_ms} ms: {by_window:?}");
        }
    }
}

fn offer(tenant: &str, class: TrafficClass, deadline: u64) -> Offer {
    Offer {
        tenant: tenant.parse().unwrap(),
        class,
        deadline: TimeMs(deadline),
        expected_run_ms: Some(DurationMs(50)),
        caller_deadline: None,
    }
}

/// Returns the identifier of a request that waits, and that of the one it displaced.
fn enqueue(queue: &mut AdmissionQueue, offer: Offer) -> Option<(WaiterId, Option<WaiterId>)> {
    match queue.offer(offer, false, TimeMs(0)) {
        Admission::Queued { waiter, displaced } => {
            Some((waiter, displaced.map(|dropped| dropped.waiter)))
        }
        Admission::Admitted | Admission::Refused { .. } => None,
    }
}

fn queue_with(places: usize) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(QueueLimits {
        places,
        wait_ms: DurationMs(5_000),
    });
    queue.set_sharing(TenantSharing::ByWork);
    queue
}

/// Guards against a request near its deadline waiting behind one of its tenant that has
/// time left, and against a request without a chance getting a slot.
#[test]
fn the_earliest_feasible_deadline_goes_first_within_a_tenant() {
    let mut queue = queue_with(16);
    let (late, _) = enqueue(&mut queue, offer("a", TrafficClass::Urgent, 900)).unwrap();
    let (soon, _) = enqueue(&mut queue, offer("a", TrafficClass::Urgent, 500)).unwrap();
    let (hopeless, _) = enqueue(&mut queue, offer("a", TrafficClass::Urgent, 100)).unwrap();
    assert_eq!(queue.assign_free_slot(TimeMs(60)), Some(soon));
    assert_eq!(queue.assign_free_slot(TimeMs(60)), Some(late));
    assert_eq!(queue.expire(TimeMs(60))[0].waiter, hopeless);
}

/// Guards against a full queue giving up a request of a higher class or of a tenant with
/// little waiting work, and against a class without a place, which would starve.
#[test]
fn a_full_queue_gives_up_the_lowest_class_and_then_the_largest_tenant() {
    let mut queue = queue_with(4);
    let urgent = |tenant| offer(tenant, TrafficClass::Urgent, 5_000);
    let batch = offer("c", TrafficClass::Batch, 5_000);
    enqueue(&mut queue, batch.clone()).unwrap();
    let (second, _) = enqueue(&mut queue, batch.clone()).unwrap();
    enqueue(&mut queue, urgent("a")).unwrap();
    let (last, _) = enqueue(&mut queue, urgent("a")).unwrap();
    let (_, displaced) = enqueue(&mut queue, urgent("a")).unwrap();
    assert_eq!(displaced, Some(second));
    assert_eq!(enqueue(&mut queue, batch), None);
    assert_eq!(enqueue(&mut queue, urgent("a")), None);
    let (_, displaced) = enqueue(&mut queue, urgent("b")).unwrap();
    assert!(displaced.is_some_and(|waiter| waiter > last));
    let (_, displaced) = enqueue(&mut queue, offer("d", TrafficClass::Normal, 5_000)).unwrap();
    assert_eq!(displaced, None);
}

/// Guards against losing waiting requests when a new configuration changes the sharing.
#[test]
fn waiting_requests_stay_when_the_sharing_changes() {
    let mut queue = queue_with(16);
    for number in 0..9 {
        let tenant = format!("tenant-{}", number % 4);
        enqueue(&mut queue, offer(&tenant, TrafficClass::Normal, 5_000)).unwrap();
    }
    for sharing in [TenantSharing::ByCount, TenantSharing::ByWork] {
        queue.set_sharing(sharing);
        for _ in 0..3 {
            assert!(queue.assign_free_slot(TimeMs(1)).is_some());
        }
    }
    assert_eq!(queue.len(), 3);
}

/// Load: every target stands still for 150 ms while 20 requests wait. Guards against taking
/// the time since the last slot for the interval of all slots: a short halt would refuse
/// requests that can be served in time.
#[test]
fn a_short_halt_refuses_nothing() {
    let mut queue = queue_with(128);
    for at in 0..400 {
        let request = offer("a", TrafficClass::Urgent, at + 600);
        queue.offer(request, false, TimeMs(at));
        if at > 20 {
            queue.assign_free_slot(TimeMs(at));
        }
    }
    let later = offer("a", TrafficClass::Urgent, 1_150);
    let admission = queue.offer(later, false, TimeMs(550));
    assert!(
        matches!(admission, Admission::Queued { .. }),
        "{admission:?}"
    );
    // After a long one, the caller learns that it may come back.
    let later = offer("a", TrafficClass::Urgent, 2_600);
    let admission = queue.offer(later, false, TimeMs(2_000));
    let kind = RefusalKind::QueueTimeout;
    assert!(
        matches!(admission, Admission::Refused { kind: refused, .. } if refused == kind),
        "{admission:?}"
    );
}
