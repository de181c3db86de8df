//! Tests how crash marks spread by gossip.

use std::net::SocketAddr;

use agatehold_core::control;
use agatehold_core::control::ControlTables;
use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::membership;
use agatehold_core::membership::HostPhase;
use agatehold_core::membership::OwnRow;
use agatehold_core::membership::PoisonUpdate;
use agatehold_core::poison::CrashMark;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

const NOW: TimeMs = TimeMs(1_000_000);

fn host(number: u16) -> HostId {
    format!("host-{number}").parse().expect("a valid name")
}

fn tables(number: u16) -> ControlTables {
    let own = OwnRow {
        id: host(number),
        failure_domain: "domain-1".parse().expect("a valid name"),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
        caller_address: SocketAddr::from(([127, 0, 0, 1], 8_000 + number)),
        incarnation: Incarnation(1),
        heartbeat: Default::default(),
        phase: HostPhase::Serving,
    };
    ControlTables::new(membership::start(own, &[], NOW))
}

fn mark(at: TimeMs, cleared: bool) -> CrashMark {
    CrashMark {
        fingerprint: Digest::of_parts(&[b"request"]),
        target: "certificates-0".parse().expect("a valid name"),
        reporter: host(1),
        at,
        cleared,
    }
}

/// Sends the marks of `from` to `to` and returns those that are new there.
fn exchange(from: &mut ControlTables, to: &mut ControlTables, now: TimeMs) -> Vec<CrashMark> {
    let receiver = to.membership.own.id.clone();
    let digest = control::build_digest(from, &receiver, now);
    control::merge_digest(to, &digest, None, now).1
}

/// The request crashes its target, and again after the target has restarted. Guards against
/// a second crash that stays unknown to the other daemons, which would send the request to
/// a third target.
#[test]
fn a_second_crash_of_a_target_reaches_the_peers() {
    let (mut own, mut peer) = (tables(1), tables(2));
    control::record_own_marks(&mut own, vec![mark(NOW, false)]);
    assert_eq!(exchange(&mut own, &mut peer, NOW), [mark(NOW, false)]);
    assert_eq!(exchange(&mut own, &mut peer, NOW), []);
    let later = NOW + DurationMs(5_000);
    control::record_own_marks(&mut own, vec![mark(later, false)]);
    assert_eq!(exchange(&mut own, &mut peer, later), [mark(later, false)]);
    let much_later = later + DurationMs(1_000);
    assert_eq!(exchange(&mut own, &mut peer, much_later), []);
}

/// Guards against a crash that stays unknown to the other daemons because the request had
/// lost a connection to the same target shortly before, without a crash.
#[test]
fn a_crash_after_a_cleared_mark_reaches_the_peers() {
    let (mut own, mut peer) = (tables(1), tables(2));
    control::record_own_marks(&mut own, vec![mark(NOW, false)]);
    exchange(&mut own, &mut peer, NOW);
    control::record_own_marks(&mut own, vec![mark(NOW, true)]);
    assert_eq!(exchange(&mut own, &mut peer, NOW), [mark(NOW, true)]);
    let later = NOW + DurationMs(1_000);
    control::record_own_marks(&mut own, vec![mark(later, false)]);
    assert_eq!(exchange(&mut own, &mut peer, later), [mark(later, false)]);
}

/// Guards against a cleared mark that a delayed copy of the same report sets again. The age
/// of a mark does not count its time on the network, so that a copy seems to be later.
#[test]
fn a_delayed_copy_does_not_set_a_cleared_mark_again() {
    let (mut own, mut peer) = (tables(1), tables(2));
    control::record_own_marks(&mut own, vec![mark(NOW, false)]);
    let receiver = host(2);
    let delayed = control::build_digest(&mut own, &receiver, NOW);
    control::record_own_marks(&mut own, vec![mark(NOW, true)]);
    exchange(&mut own, &mut peer, NOW);
    let later = NOW + DurationMs(400);
    assert_eq!(
        control::merge_digest(&mut peer, &delayed, None, later).1,
        []
    );
    let update = &control::build_digest(&mut peer, &host(1), later).poisoned;
    assert!(
        matches!(&update[..], [PoisonUpdate { cleared: true, .. }]),
        "{update:?}"
    );
}
