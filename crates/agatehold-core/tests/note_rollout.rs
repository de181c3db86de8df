//! Tests for reading the chain and for the progress of a rollout.

#![expect(clippy::unwrap_used, reason = "the values of the tests are valid")]

use std::net::SocketAddr;

use agatehold_core::ids::Digest;
use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::ChainWalk;
use agatehold_core::note::Head;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_core::note::WalkStep;
use agatehold_core::note::body_digest;
use agatehold_core::note::rollout::DaemonReport;
use agatehold_core::note::rollout::DaemonReports;
use agatehold_core::note::rollout::GossipedNote;
use agatehold_core::note::rollout::lacks_majority;
use agatehold_core::note::rollout::progress;
use agatehold_core::note::rollout::push_addresses;

fn stored(head: Head, id: u8) -> StoredNote {
    StoredNote {
        header: NoteHeader {
            number: head.number.next(),
            id: NoteId([id; 16]),
            prev: head.hash,
            body: body_digest(""),
            config: Digest::default(),
            author: "ana".into(),
        },
        text: "".into(),
    }
}

/// Of several bodies written under the same number, only one is part of the chain; the
/// others must be skipped.
#[test]
fn the_walk_skips_bodies_outside_the_chain() {
    let first = stored(Head::default(), 1);
    let rejected = stored(Head::default(), 9);
    let second = stored(first.header.head(), 2);
    let mut walk = ChainWalk::new(&second.header.record(), NoteNumber(0));
    assert_eq!(
        walk.step(),
        WalkStep::ReadBody(NoteNumber(2), second.header.id)
    );
    walk.on_body_read(Some(second.clone()));
    assert_eq!(walk.step(), WalkStep::ListBodies(NoteNumber(1)));
    walk.on_bodies_listed(vec![first.header.id, rejected.header.id]);
    walk.on_body_read(Some(rejected));
    assert_eq!(
        walk.step(),
        WalkStep::ReadBody(NoteNumber(1), first.header.id)
    );
    let mut broken = walk.clone();
    broken.on_body_read(None);
    assert_eq!(broken.step(), WalkStep::Broken(NoteNumber(1)));
    walk.on_body_read(Some(first.clone()));
    assert_eq!(walk.step(), WalkStep::Done);
    assert_eq!(walk.notes(), [second, first]);
}

fn report(host: &str, domain: &str, number: u64) -> Option<DaemonReport> {
    Some(DaemonReport {
        host: host.parse().unwrap(),
        failure_domain: domain.parse().unwrap(),
        head: Head {
            number: NoteNumber(number),
            hash: Digest([number as u8; 32]),
        },
        confirmed: true,
        leaving: false,
    })
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, 1], port))
}

fn reports(rows: &[Option<DaemonReport>]) -> DaemonReports {
    (1u16..).map(address).zip(rows.iter().cloned()).collect()
}

/// If a rollout were reported as complete while a daemon is behind or unreachable, the
/// operator would wrongly assume that a withdrawn target gets no more requests.
#[test]
fn every_daemon_has_to_report_the_note() {
    let accepted = HeadRecord {
        head: Head {
            number: NoteNumber(5),
            hash: Digest([5; 32]),
        },
        ..HeadRecord::default()
    };
    let mut rows = vec![
        report("a", "z1", 5),
        report("b", "z2", 6),
        report("c", "z3", 4),
        None,
    ];
    let mut forked = report("d", "z1", 5).unwrap();
    forked.head.hash = Digest([9; 32]);
    rows.push(Some(forked));
    let gossiped = ["a", "c", "e"].map(|host| GossipedNote {
        host: host.parse().unwrap(),
        note: NoteNumber(4),
    });
    let result = progress(accepted.head, &reports(&rows), &gossiped);
    assert_eq!(result.in_force, 2);
    assert_eq!(result.behind, ["c".parse().unwrap()]);
    assert_eq!(result.diverged, ["d".parse().unwrap()]);
    assert_eq!(result.silent, [address(4)]);
    assert_eq!(result.gossiped_behind, ["e".parse().unwrap()]);
    assert!(!result.is_complete());
    let complete = progress(accepted.head, &reports(&rows[..2]), &gossiped[..1]);
    assert!(complete.is_complete(), "{complete:?}");
}

/// A note that is pushed to a single failure domain is lost if that domain fails.
#[test]
fn pushes_go_to_different_failure_domains() {
    let rows = [
        report("a", "z1", 1),
        report("b", "z1", 1),
        None,
        report("d", "z2", 1),
        report("e", "z3", 1),
    ];
    assert_eq!(push_addresses(&reports(&rows)), [1, 4, 5].map(address));
    assert_eq!(push_addresses(&reports(&rows[..2])), [1, 2].map(address));
}

/// An operator must be told if a release would reach only a minority of the daemons.
#[test]
fn a_missing_majority_is_reported() {
    let mut unconfirmed = report("b", "z2", 1);
    if let Some(report) = &mut unconfirmed {
        report.confirmed = false;
    }
    let rows = [
        report("a", "z1", 1),
        unconfirmed,
        None,
        report("d", "z3", 1),
    ];
    assert_eq!(lacks_majority(&reports(&rows)), Some((2, 4)));
    assert_eq!(lacks_majority(&reports(&[report("a", "z1", 1)])), None);
}
