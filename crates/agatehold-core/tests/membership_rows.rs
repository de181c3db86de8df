//! Guards single rules of the peer table.

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
use agatehold_core::membership::StandingNews;
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

/// The rows of an earlier start would hide that the host lost its state.
#[test]
fn takes_the_later_start() {
    let mut table = table_of(0);
    membership::merge(&mut table, &digest_of(&own(1, 7), 0), TimeMs(10));
    let changes = membership::merge(&mut table, &digest_of(&own(1, 9), 0), TimeMs(20));
    assert_eq!(changes, vec![PeerChange::Restarted(configs::host(1))]);
    let mut former = own(1, 7);
    former.heartbeat = Heartbeat(900);
    former.phase = HostPhase::Leaving;
    assert!(membership::merge(&mut table, &digest_of(&former, 0), TimeMs(30)).is_empty());
    let row = table.peers.get(&configs::host(1)).unwrap();
    assert_eq!(row.incarnation, Incarnation(9));
}

/// A replaced host whose row stays would be counted and tried for ever.
#[test]
fn replaces_a_host_on_the_same_address() {
    let mut table = table_of(0);
    membership::merge(&mut table, &digest_of(&own(1, 7), 0), TimeMs(10));
    let mut heir = own(5, 9);
    heir.peer_address = configs::address(1, 7901);
    let changes = membership::merge(&mut table, &digest_of(&heir, 0), TimeMs(20));
    let replaced = PeerChange::Replaced {
        old: configs::host(1),
        new: configs::host(5),
    };
    assert!(changes.contains(&replaced), "{changes:?}");
    // News of the former host that still go round must not bring it back.
    membership::merge(&mut table, &digest_of(&own(1, 7), 0), TimeMs(30));
    assert!(!table.peers.contains(&configs::host(1)));
    assert!(table.peers.contains(&configs::host(5)));
}

/// A clock that went back would let rows of the former start win.
#[test]
fn raises_its_incarnation_above_a_reported_one() {
    let mut table = table_of(0);
    let mut digest = digest_of(&own(1, 7), 0);
    let mut former = digest_of(&own(0, 5_000), 1).sender;
    former.heard_age = Some(DurationMs(4_000));
    digest.rows.push(former);
    membership::merge(&mut table, &digest, TimeMs(10));
    assert!(table.own.incarnation > Incarnation(5_000));
}

/// One accuser alone may be the host at fault.
#[test]
fn needs_two_accusers_close_together() {
    let at = TimeMs(100_000);
    for (age_ms, suspected) in [(500, true), (3_500, false)] {
        let mut table = table_of(0);
        membership::merge(&mut table, &digest_of(&own(1, 7), 0), TimeMs(10));
        membership::unreachable(&mut table, &configs::host(1), at, at);
        let host = table.peers.get(&configs::host(1)).unwrap();
        assert!(matches!(host.standing, Standing::Accused { .. }));
        let mut digest = digest_of(&own(2, 7), 0);
        let mut news = digest_of(&own(1, 7), 0).sender;
        news.heard_age = Some(DurationMs(50_000));
        news.standing = StandingNews::Accused(configs::host(2), DurationMs(age_ms));
        digest.rows.push(news);
        membership::merge(&mut table, &digest, at);
        let host = table.peers.get(&configs::host(1)).unwrap();
        assert_eq!(
            matches!(host.standing, Standing::Suspected { .. }),
            suspected,
            "{host:?}"
        );
    }
}

/// A host with a broken path fails again and again; its second failure must
/// not count as a second accuser.
#[test]
fn counts_an_accuser_once() {
    let mut table = table_of(0);
    membership::merge(&mut table, &digest_of(&own(1, 7), 0), TimeMs(10));
    for at in [TimeMs(100_000), TimeMs(100_600), TimeMs(102_000)] {
        membership::unreachable(&mut table, &configs::host(1), at, at);
        let host = table.peers.get(&configs::host(1)).unwrap();
        assert!(matches!(host.standing, Standing::Accused { .. }));
    }
}

/// The platform's list lags: it must not remove a host that sends
/// heartbeats, nor keep one that is gone for ever.
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

/// Without the list, a minority that forgot the others would take itself for
/// the whole fleet.
#[test]
fn forgets_nobody_without_the_host_list() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut table = table_of(0);
    let row = table.peers.get_mut(&configs::host(1)).unwrap();
    row.standing = Standing::Gone { since: TimeMs(30) };
    row.listed = false;
    membership::run(&mut table, TimeMs(24 * 3_600_000), &mut rng);
    assert_eq!(membership::contact(&table, TimeMs(0)).known, 3);
}
