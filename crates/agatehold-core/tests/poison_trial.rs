//! Tests how a refused request is tried again.

use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TargetName;
use agatehold_core::poison::Admission;
use agatehold_core::poison::CrashMark;
use agatehold_core::poison::PoisonTable;
use agatehold_core::poison::Suspicion;
use agatehold_core::poison::admit;
use agatehold_core::poison::begin_trial;
use agatehold_core::poison::end_resend;
use agatehold_core::poison::mark_crash;
use agatehold_core::poison::revoke_marks;
use agatehold_core::poison::suspect;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

const NOW: TimeMs = TimeMs(1_000_000);

/// A request in the tables of some daemons, all of which hear of each crash.
struct Fleet {
    tables: Vec<PoisonTable>,
}

impl Fleet {
    fn new(daemons: usize) -> Self {
        Self {
            tables: vec![PoisonTable::default(); daemons],
        }
    }

    fn host(daemon: usize) -> HostId {
        format!("host-{daemon}").parse().expect("a valid name")
    }

    fn request() -> Digest {
        Digest::of_parts(&[b"request"])
    }

    /// The request crashes a target through a daemon.
    fn crash(&mut self, daemon: usize, target: &str, at: TimeMs) {
        let target: TargetName = target.parse().expect("a valid name");
        let mark = CrashMark {
            fingerprint: Self::request(),
            target,
            reporter: Self::host(daemon),
            at,
            cleared: false,
        };
        for table in &mut self.tables {
            mark_crash(table, mark.clone(), at);
        }
    }

    /// Copies of the request come to all daemons at once; returns those that send it.
    fn senders(&mut self, now: TimeMs) -> Vec<usize> {
        let mut senders = Vec::new();
        for (daemon, table) in self.tables.iter_mut().enumerate() {
            let own = Self::host(daemon);
            let admission = admit(table, &Self::request(), &own, now);
            let is_sent = match admission {
                Admission::Refused => begin_trial(table, &Self::request(), &own, now),
                Admission::Admitted | Admission::AdmittedOnce => true,
                Admission::Deferred => false,
            };
            if is_sent {
                senders.push(daemon);
            }
        }
        senders
    }
}

/// The pattern: copies of a request that crashes targets keep coming to all daemons at
/// once. Guards against trials that crash a target through each daemon, or again and again.
#[test]
fn copies_that_keep_coming_crash_four_targets_in_ten_minutes() {
    for daemons in [3, 30, 300] {
        let mut fleet = Fleet::new(daemons);
        fleet.crash(2, "a", NOW);
        fleet.crash(1, "b", NOW);
        let mut trials = Vec::new();
        for second in 0..600 {
            let now = NOW + DurationMs(1_000 * second);
            for daemon in fleet.senders(now) {
                trials.push((second, daemon));
                fleet.crash(daemon, &format!("c-{second}"), now);
            }
        }
        assert_eq!(trials, [(10, 1), (70, 1)], "{daemons} daemons");
    }
}

/// Guards against refusing a request for ten minutes that was in flight at two crashes
/// which it did not cause.
#[test]
fn a_request_that_is_answered_in_its_trial_is_admitted() {
    let mut fleet = Fleet::new(2);
    fleet.crash(0, "a", NOW);
    fleet.crash(0, "b", NOW);
    let early = NOW + DurationMs(9_999);
    assert!(fleet.senders(early).is_empty());
    let later = NOW + DurationMs(10_000);
    assert_eq!(fleet.senders(later), [0]);
    for table in &mut fleet.tables {
        assert!(revoke_marks(table, &Fleet::request()));
    }
    end_resend(&mut fleet.tables[0], &Fleet::request());
    assert_eq!(fleet.senders(later), [0, 1]);
}

/// A trial is rejected by a full target. Guards against waiting for its outcome, and
/// against a second copy while it is under way.
#[test]
fn a_trial_that_did_not_run_is_repeated() {
    let mut fleet = Fleet::new(2);
    fleet.crash(0, "a", NOW);
    fleet.crash(1, "b", NOW);
    let later = NOW + DurationMs(10_000);
    assert_eq!(fleet.senders(later), [0]);
    assert!(fleet.senders(later).is_empty(), "one copy at a time");
    end_resend(&mut fleet.tables[0], &Fleet::request());
    assert_eq!(fleet.senders(later), [0]);
}

/// Guards against a second trial while it is checked whether the first one has crashed its
/// target.
#[test]
fn no_trial_begins_while_the_target_of_the_last_one_is_checked() {
    let mut fleet = Fleet::new(1);
    fleet.crash(0, "a", NOW);
    fleet.crash(0, "b", NOW);
    let later = NOW + DurationMs(10_000);
    assert_eq!(fleet.senders(later), [0]);
    let lost = Suspicion {
        target: "c".parse().expect("a valid name"),
        reporter: Fleet::host(0),
        at: later,
        withdrawn: false,
    };
    suspect(&mut fleet.tables[0], &Fleet::request(), lost, later);
    end_resend(&mut fleet.tables[0], &Fleet::request());
    assert!(fleet.senders(later).is_empty());
}
