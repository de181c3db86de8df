//! Tests single rules of the table of buckets.

use agatehold_core::ids::HostId;
use agatehold_core::ids::TenantName;
use agatehold_core::limits::allotments::AllotmentEntry;
use agatehold_core::limits::allotments::AllotmentTable;
use agatehold_core::limits::allotments::Ask;
use agatehold_core::tenants::Allotment;
use agatehold_core::units::TimeMs;

use crate::fleet::WINDOW_MS;

const TEN: Allotment = Allotment {
    rate_per_s: 10.0,
    burst: 8.0,
};

fn host(number: usize) -> HostId {
    format!("entry-{number}").parse().expect("a host")
}

fn tenant() -> TenantName {
    "orchard".parse().expect("a name")
}

fn entries(hosts: &[usize]) -> Vec<AllotmentEntry> {
    let hosts = hosts.iter().map(|number| AllotmentEntry {
        host: host(*number),
        failure_domain: "domain-0".parse().expect("a domain"),
    });
    hosts.collect()
}

/// Returns the table of a daemon that started at 0 among two entry daemons.
fn table(number: usize) -> AllotmentTable {
    table_of(number, &[0, 1])
}

/// Returns the table of a daemon that started at 0 with these entry daemons.
fn table_of(number: usize, hosts: &[usize]) -> AllotmentTable {
    let domain = "domain-0".parse().expect("a domain");
    let mut table = AllotmentTable::new(host(number), domain, WINDOW_MS, TimeMs(0));
    table.set_parts(entries(hosts), TimeMs(0));
    table
}

/// Returns how many tokens can be taken at once.
fn take_all(table: &mut AllotmentTable, now: TimeMs) -> usize {
    let taken = std::iter::from_fn(|| table.take(&tenant(), &TEN, now));
    taken.take(1_000).count()
}

/// Lets a request wait at an empty daemon and returns its ask.
fn ask(table: &mut AllotmentTable, now: TimeMs) -> Ask {
    take_all(table, now);
    table.start_waiting(&tenant(), &TEN, now);
    let mut asks = table.needs(now);
    assert_eq!(asks.len(), 1, "{asks:?}");
    asks.remove(0)
}

/// Guards against buckets that are full when a process starts: the one before may have
/// spent the same tokens.
#[test]
fn a_process_starts_with_empty_buckets() {
    let domain = "domain-0".parse().expect("a domain");
    let start = TimeMs(50_000);
    let mut table = AllotmentTable::new(host(0), domain, WINDOW_MS, start);
    table.set_parts(entries(&[0, 1]), start);
    assert_eq!(take_all(&mut table, TimeMs(50_100)), 0);
    assert_eq!(take_all(&mut table, TimeMs(50_500)), 2);
    assert_eq!(take_all(&mut table, TimeMs(59_000)), 4);
}

/// Guards against a larger part that applies while others still use it, and against a
/// smaller one that applies late.
#[test]
fn a_smaller_part_applies_at_once_and_a_larger_one_later() {
    let mut table = table(0);
    let answered = |table: &mut AllotmentTable, at: u64| {
        table.record_answer(TimeMs(at));
        take_all(table, TimeMs(at))
    };
    table.set_parts(entries(&[0]), TimeMs(5_000));
    assert_eq!(answered(&mut table, 9_000), 4);
    assert_eq!(answered(&mut table, 17_900), 4);
    // From 18 s on the bucket holds all of the burst.
    assert_eq!(answered(&mut table, 18_100), 1);
    assert_eq!(answered(&mut table, 25_000), 8);
    answered(&mut table, 30_000);
    // Another holder takes its place.
    table.set_parts(entries(&[1]), TimeMs(35_000));
    assert_eq!(answered(&mut table, 35_000), 0);
}

/// Entry daemons are added while targets join. Guards against half of each allotment left
/// unused for 13 s, and against holders of before and added ones that use the same parts.
#[test]
fn added_holders_take_over_within_seconds() {
    let (mut before, mut added) = (table_of(0, &[0]), table_of(1, &[0]));
    // Daemons that nobody answers would drop their parts.
    for at in (5_000..35_000).step_by(5_000) {
        before.record_answer(TimeMs(at));
        added.record_answer(TimeMs(at));
    }
    let answered = |table: &mut AllotmentTable, at: u64| {
        table.record_answer(TimeMs(at));
        take_all(table, TimeMs(at))
    };
    assert_eq!(answered(&mut before, 35_000), 8);
    for table in [&mut before, &mut added] {
        table.set_parts(entries(&[0, 1]), TimeMs(35_000));
    }
    // The whole rate until half of the time in which the others learn of the change.
    assert_eq!(answered(&mut before, 36_400), 8);
    assert_eq!(answered(&mut before, 37_900), 4);
    assert_eq!(answered(&mut added, 37_900), 0);
    assert_eq!(answered(&mut added, 38_100), 0, "its bucket was empty");
    assert_eq!(answered(&mut added, 38_600), 2);
}

/// Guards against grants that are applied twice, late, or from another daemon than the one
/// asked, and against a repeated ask that takes tokens twice.
#[test]
fn a_grant_is_applied_once() {
    let allotment_of = |_: &TenantName| Some(TEN);
    let (mut first, mut second) = (table(0), table(1));
    let now = TimeMs(3_000);
    let ask = ask(&mut first, now);
    let grant = second.grant(1, ask.number, &ask.items, allotment_of, now);
    let again = second.grant(1, ask.number, &ask.items, allotment_of, now);
    assert_eq!(grant, again);
    let granted = grant.items[0].tokens;
    assert!(granted >= 1.0);
    let left = take_all(&mut second, now) as f64;
    assert!((left - (4.0 - granted).floor()).abs() < 0.1, "{left}");
    let mut forged = grant.clone();
    forged.from = host(2);
    assert_eq!(first.apply_grant(&forged, now).to_bits(), 0.0_f64.to_bits());
    assert!((first.apply_grant(&grant, now) - granted).abs() < 1e-9);
    assert_eq!(first.apply_grant(&grant, now).to_bits(), 0.0_f64.to_bits());
    assert!(first.take_waiting(&tenant(), &TEN, now).is_some());
    let mut late = table(0);
    let ask = self::ask(&mut late, now);
    let grant = table(1).grant(1, ask.number, &ask.items, allotment_of, now);
    assert_eq!(
        late.apply_grant(&grant, TimeMs(3_250)).to_bits(),
        0.0_f64.to_bits()
    );
}

/// Guards against granted tokens that are kept while the daemon that granted them fills
/// its bucket again.
#[test]
fn a_granted_token_lapses() {
    let (mut first, mut second) = (table(0), table(1));
    let now = TimeMs(3_000);
    let ask = ask(&mut first, now);
    let grant = second.grant(1, ask.number, &ask.items, |_| Some(TEN), now);
    first.apply_grant(&grant, now);
    // Its own part gains 1.25 tokens until then.
    assert_eq!(take_all(&mut first, TimeMs(3_250)), 1);
}

/// Guards against refused requests that all come back at the same time, and against times
/// at which there is no token.
#[test]
fn refused_requests_get_one_time_each() {
    let mut table = table(0);
    let now = TimeMs(3_000);
    take_all(&mut table, now);
    let delays: Vec<u64> = (0..4)
        .map(|_| table.retry_after(&tenant(), &TEN, now).0)
        .collect();
    for pair in delays.windows(2) {
        // Not sooner than at the whole rate of the tenant.
        assert!(pair[1] >= pair[0] + 99, "{delays:?}");
    }
    assert!(
        table
            .take(
                &tenant(),
                &TEN,
                now + agatehold_core::units::DurationMs(delays[0].max(200))
            )
            .is_some()
    );
}

/// Guards against requests that cost a token although no target got them, and against a
/// bucket that holds more than its part.
#[test]
fn a_token_that_is_given_back_can_be_taken_again() {
    let mut table = table(0);
    let now = TimeMs(3_000);
    let taken = table.take(&tenant(), &TEN, now).expect("a token");
    table.give_back(&tenant(), taken, now);
    assert_eq!(take_all(&mut table, now), 4);
    table.give_back(&tenant(), taken, TimeMs(9_000));
    assert_eq!(take_all(&mut table, TimeMs(9_000)), 4);
}

/// Guards against a table that grows with every tenant that ever sent a request.
#[test]
fn idle_tenants_are_forgotten() {
    let mut table = table(0);
    for number in 0..500 {
        let name = format!("tenant-{number}").parse().expect("a name");
        table.take(&name, &TEN, TimeMs(3_000));
    }
    assert_eq!(table.len(), 500);
    for step in 0..200 {
        let now = TimeMs(20_000 + 100 * step);
        table.record_answer(now);
        table.sweep(now);
    }
    assert_eq!(table.len(), 0);
}
