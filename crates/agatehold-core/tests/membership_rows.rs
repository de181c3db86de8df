//! Tests the rules for merging rows of the peer table.

use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

use agatehold_core::ids::Incarnation;
use agatehold_core::membership;
use agatehold_core::membership::Heartbeat;
use agatehold_core::membership::HostPhase;
use agatehold_core::membership::ListedHost;
use agatehold_core::membership::Membership;
use agatehold_core::membership::OwnRow;
use agatehold_core::membership::PeerChange;
use agatehold_core::membership::PeerDigest;
use agatehold_core::membership::Standing;
use agatehold_core::membership::StandingUpdate;
use agatehold_core::note::Head;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_measure_fleet::configs;

fn own(number: u32, incarnation: u64) -> OwnRow {
    OwnRow {
        id: configs::host(number),
        failure_domain: configs::domain(0),
        peer_address: configs::address(number, 7901),
        caller_address: configs::address(number, 7900),
        incarnation: Incarnation(incarnation),
        heartbeat: Heartbeat(0),
        phase: HostPhase::Serving,
    }
}

fn listed(number: u32) -> ListedHost {
    ListedHost {
        id: configs::host(number),
        failure_domain: configs::domain(0),
        peer_address: configs::address(number, 7901),
        caller_address: Some(configs::address(number, 7900)),
        leaving: false,
    }
}

fn digest_of(sender: &OwnRow, to: u32) -> PeerDigest {
    let mut membership = membership::start(sender.clone(), &[], TimeMs(0));
    membership::digest(
        &mut membership,
        &configs::host(to),
        Head::default(),
        None,
        TimeMs(0),
    )
}

fn table_of(number: u32) -> Membership {
    membership::start(own(number, 1_000), &[listed(1), listed(2)], TimeMs(0))
}

/// A row of an earlier incarnation must not replace that of a later one; it
/// would hide that the host lost its state.
#[test]
fn keeps_the_later_incarnation() {
    let mut table = table_of(0);
    membership::merge(&mut table, &digest_of(&own(1, 7), 0), TimeMs(10));
    let changes = membership::merge(&mut table, &digest_of(&own(1, 9), 0), TimeMs(20));
    assert_eq!(changes, vec![PeerChange::Restarted(configs::host(1))]);
    let mut earlier = own(1, 7);
    earlier.heartbeat = Heartbeat(900);
    earlier.phase = HostPhase::Leaving;
    assert!(membership::merge(&mut table, &digest_of(&earlier, 0), TimeMs(30)).is_empty());
    let row = table.peers.get(&configs::host(1)).unwrap();
    assert_eq!(row.incarnation, Incarnation(9));
}

/// The row of a replaced host must be removed; otherwise the host would be
/// counted and contacted forever.
#[test]
fn replaces_a_host_on_the_same_address() {
    let mut table = table_of(0);
    membership::merge(&mut table, &digest_of(&own(1, 7), 0), TimeMs(10));
    let mut successor = own(5, 9);
    successor.peer_address = configs::address(1, 7901);
    let changes = membership::merge(&mut table, &digest_of(&successor, 0), TimeMs(20));
    let replaced = PeerChange::Replaced {
        old: configs::host(1),
        new: configs::host(5),
    };
    assert!(changes.contains(&replaced), "{changes:?}");
    // Gossip about the replaced host that still circulates must not add it
    // again.
    membership::merge(&mut table, &digest_of(&own(1, 7), 0), TimeMs(30));
    assert!(!table.peers.contains(&configs::host(1)));
    assert!(table.peers.contains(&configs::host(5)));
}

/// If the clock was set back before a restart, rows of the earlier incarnation
/// would win over those of the restarted daemon.
#[test]
fn raises_its_incarnation_above_a_reported_one() {
    let mut table = table_of(0);
    let mut digest = digest_of(&own(1, 7), 0);
    let mut earlier = digest_of(&own(0, 5_000), 1).sender;
    earlier.heard_age = Some(DurationMs(4_000));
    digest.rows.push(earlier);
    membership::merge(&mut table, &digest, TimeMs(10));
    assert!(table.own.incarnation > Incarnation(5_000));
}

/// A single accuser must not make a host suspected, since the accuser itself
/// may be faulty. Accusations by two hosts count together only if they are at
/// most 3 s apart.
#[test]
fn needs_two_accusers_close_together() {
    let at = TimeMs(100_000);
    for (age_ms, suspected) in [(500, true), (3_500, false)] {
        let mut table = table_of(0);
        membership::merge(&mut table, &digest_of(&own(1, 7), 0), TimeMs(10));
        membership::record_unreachable(&mut table, &configs::host(1), at, at);
        let host = table.peers.get(&configs::host(1)).unwrap();
        assert!(matches!(host.standing, Standing::Accused { .. }));
        let mut digest = digest_of(&own(2, 7), 0);
        let mut reported_row = digest_of(&own(1, 7), 0).sender;
        reported_row.heard_age = Some(DurationMs(50_000));
        reported_row.standing = StandingUpdate::Accused(configs::host(2), DurationMs(age_ms));
        digest.rows.push(reported_row);
        membership::merge(&mut table, &digest, at);
        let host = table.peers.get(&configs::host(1)).unwrap();
        assert_eq!(
            matches!(host.standing, Standing::Suspected { .. }),
            suspected,
            "{host:?}"
        );
    }
}

/// An accuser with a broken network path fails repeatedly; its second failure
/// must not count as a second accuser.
#[test]
fn counts_an_accuser_once() {
    let mut table = table_of(0);
    membership::merge(&mut table, &digest_of(&own(1, 7), 0), TimeMs(10));
    for at in [TimeMs(100_000), TimeMs(100_600), TimeMs(102_000)] {
        membership::record_unreachable(&mut table, &configs::host(1), at, at);
        let host = table.peers.get(&configs::host(1)).unwrap();
        assert!(matches!(host.standing, Standing::Accused { .. }));
    }
}

/// The platform's host list lags: it must not remove a host that sends
/// heartbeats, and must not keep a host that is gone forever.
#[test]
fn merges_a_lagging_host_list() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut table = table_of(0);
    membership::merge(&mut table, &digest_of(&own(1, 7), 0), TimeMs(10));
    let mut leaving = listed(2);
    leaving.leaving = true;
    membership::merge_host_list(&mut table, &[leaving, listed(3)], TimeMs(20));
    assert!(table.peers.contains(&configs::host(1)));
    assert!(table.peers.contains(&configs::host(3)));
    let row = table.peers.get(&configs::host(2)).unwrap();
    assert!(row.listed_leaving && !row.is_available());

    let row = table.peers.get_mut(&configs::host(1)).unwrap();
    row.standing = Standing::Gone { since: TimeMs(30) };
    for (now, kept) in [(10_000, true), (60_000, false)] {
        let now = TimeMs(now);
        membership::merge_host_list(&mut table, &[listed(2)], now);
        membership::run(&mut table, now, &mut rng);
        assert_eq!(table.peers.contains(&configs::host(1)), kept, "at {now}");
    }
}

/// Hosts must not be removed without a host list: a minority that removed the
/// others would consider itself the whole fleet.
#[test]
fn removes_no_host_without_the_host_list() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut table = table_of(0);
    let row = table.peers.get_mut(&configs::host(1)).unwrap();
    row.standing = Standing::Gone { since: TimeMs(30) };
    row.listed = false;
    membership::run(&mut table, TimeMs(24 * 3_600_000), &mut rng);
    assert_eq!(membership::contact(&table, TimeMs(0)).known, 3);
}
