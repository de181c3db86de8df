//! Tests at-most-once execution of requests with an idempotency key, and that
//! their refusals report correctly whether the request ran.
//!
//! Random interleavings of arrivals, platform faults, pauses, restarts and
//! elapsed time are applied to the key tables of three daemons and a model of
//! the platform.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use agatehold_core::idempotency::Arrival;
use agatehold_core::idempotency::CLAIM_RETENTION_MS;
use agatehold_core::idempotency::Claim;
use agatehold_core::idempotency::ClaimAnswer;
use agatehold_core::idempotency::ClaimId;
use agatehold_core::idempotency::ClaimRecord;
use agatehold_core::idempotency::ClaimStep;
use agatehold_core::idempotency::IdempotencyKey;
use agatehold_core::idempotency::KEY_MAX_CHARS;
use agatehold_core::idempotency::KeyLimits;
use agatehold_core::idempotency::KeyOwner;
use agatehold_core::idempotency::KeyPrefix;
use agatehold_core::idempotency::KeyState;
use agatehold_core::idempotency::KeyTable;
use agatehold_core::idempotency::StoredAnswer;
use agatehold_core::idempotency::claim_record_name;
use agatehold_core::idempotency::next_claim_step;
use agatehold_core::idempotency::refusal_outcome;
use agatehold_core::ids::Digest;
use agatehold_core::ids::Incarnation;
use agatehold_core::ids::TenantName;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::units::ByteCount;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

const DAEMONS: usize = 3;

const CASES: u32 = 800;

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The call takes effect and its answer is lost.
    LostAfter,
    /// The call takes effect later and its answer is lost.
    LostDelayed,
    /// The call never takes effect and its answer is lost.
    LostBefore,
    Unavailable,
}

#[derive(Clone, Copy, Debug)]
enum SendOutcome {
    Answered,
    Unknown,
    Shed,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    IssuePrefix(usize),
    Arrive {
        daemon: usize,
        key: usize,
        tenant: usize,
        body: u8,
    },
    /// Makes the next platform call of an arrival whose claim is not granted yet.
    CallPlatform(usize, Fault),
    /// Lets a delayed create take effect.
    ApplyDelayedCreate(usize),
    /// Sends a request that holds its claim, with the given outcome.
    Send(usize, SendOutcome),
    Restart(usize),
    /// Advances the time by a number of milliseconds.
    AdvanceTime(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let fault = prop_oneof![
        4 => Just(Fault::None),
        2 => Just(Fault::LostAfter),
        2 => Just(Fault::LostDelayed),
        1 => Just(Fault::LostBefore),
        1 => Just(Fault::Unavailable),
    ];
    let outcome = prop_oneof![
        Just(SendOutcome::Answered),
        Just(SendOutcome::Unknown),
        Just(SendOutcome::Shed)
    ];
    let minutes = prop_oneof![
        8 => 0_u64..3,
        3 => 3_u64..40,
        1 => 60_u64..100,
        1 => Just(4 * 24 * 60),
    ];
    let op = prop_oneof![
        1 => (0..DAEMONS).prop_map(Op::IssuePrefix),
        10 => (0..DAEMONS, 0..6_usize, 0..2_usize, 0..12_u8).prop_map(
            |(daemon, key, tenant, body)| Op::Arrive { daemon, key, tenant, body }
        ),
        10 => (0..4_usize, fault).prop_map(|(pick, fault)| Op::CallPlatform(pick, fault)),
        3 => (0..4_usize).prop_map(Op::ApplyDelayedCreate),
        8 => (0..4_usize, outcome).prop_map(|(pick, outcome)| Op::Send(pick, outcome)),
        1 => (0..DAEMONS).prop_map(Op::Restart),
        3 => minutes.prop_map(|minutes| Op::AdvanceTime(minutes * 60_000)),
    ];
    vec(op, 1..120)
}

/// An arrival that waits for the platform or to be sent.
struct Pending {
    daemon: usize,
    name: String,
    claim: ClaimId,
    /// The claim record to create; `None` once the platform has granted the
    /// claim, or if none is needed.
    uncreated: Option<ClaimRecord>,
    /// Whether the next platform call is a read instead of a create.
    reads: bool,
    calls: u32,
    key: IdempotencyKey,
    tenant: usize,
    body: Digest,
}

#[derive(Default)]
struct Counts {
    arrivals: u32,
    ran: u32,
    refused: u32,
    refused_never_run: u32,
}

struct Simulation {
    now: TimeMs,
    limits: KeyLimits,
    process_starts: u64,
    daemons: Vec<(KeyOwner, KeyTable)>,
    keys: Vec<IdempotencyKey>,
    pending: Vec<Pending>,
    platform: BTreeMap<String, (ClaimRecord, TimeMs)>,
    delayed: Vec<(String, ClaimRecord)>,
    /// How often each key ran, by the name of its claim record.
    runs: BTreeMap<String, u32>,
    refused: Vec<String>,
    arrivals: u32,
}

fn tenant(index: usize) -> TenantName {
    ["cauca", "narino"][index].parse().unwrap()
}

impl Simulation {
    fn new(memory: u64) -> Self {
        let mut simulation = Self {
            now: TimeMs(1_000),
            limits: KeyLimits {
                memory_bytes: ByteCount(memory),
                ..KeyLimits::default()
            },
            process_starts: 0,
            daemons: Vec::new(),
            keys: vec!["a".parse().unwrap(), "b.c.d.e".parse().unwrap()],
            pending: Vec::new(),
            platform: BTreeMap::new(),
            delayed: Vec::new(),
            runs: BTreeMap::new(),
            refused: Vec::new(),
            arrivals: 0,
        };
        for index in 0..DAEMONS {
            let daemon = simulation.start(index);
            simulation.daemons.push(daemon);
            simulation.issue_prefix(index);
        }
        simulation
    }

    fn start(&mut self, index: usize) -> (KeyOwner, KeyTable) {
        self.process_starts += 1;
        let owner = KeyOwner {
            host: format!("entry-{index}").parse().unwrap(),
            incarnation: Incarnation(self.process_starts),
        };
        let table = KeyTable::new(owner.clone(), self.limits, self.now);
        (owner, table)
    }

    fn issue_prefix(&mut self, daemon: usize) {
        let prefix = self.daemons[daemon].1.issue_prefix(self.now);
        let text = format!("{prefix}.u{}", self.keys.len());
        self.keys.push(text.parse().unwrap());
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::IssuePrefix(daemon) => self.issue_prefix(daemon),
            Op::Arrive {
                daemon,
                key,
                tenant,
                body,
            } => {
                self.arrivals += 1;
                // Only the last few keys are used, so that one key often gets
                // several arrivals.
                let key = self.keys
                    [self.keys.len().saturating_sub(6) + key % self.keys.len().min(6)]
                .clone();
                // One arrival in twelve reuses a key for another request.
                let body = Digest::of_parts(&[&[u8::from(body == 0)]]);
                self.arrive(daemon, key, tenant, body, Arrival::Direct);
            }
            Op::CallPlatform(pick, fault) => self.call_platform(pick, fault),
            Op::ApplyDelayedCreate(pick) => {
                if pick < self.delayed.len() {
                    let (name, record) = self.delayed.remove(pick);
                    self.create(&name, record);
                }
            }
            Op::Send(pick, outcome) => self.send(pick, outcome),
            Op::Restart(daemon) => {
                self.daemons[daemon] = self.start(daemon);
                self.pending.retain(|pending| pending.daemon != daemon);
            }
            Op::AdvanceTime(ms) => {
                self.now = self.now + DurationMs(ms);
                let now = self.now;
                // A key without a prefix is protected only while the platform
                // keeps its claim record; afterwards it counts as a new key.
                let runs = &mut self.runs;
                self.platform.retain(|name, (_, at)| {
                    let kept = now.since(*at) < CLAIM_RETENTION_MS;
                    if !kept {
                        runs.remove(name);
                    }
                    kept
                });
            }
        }
        for (_, table) in &self.daemons {
            assert!(
                table.memory() <= self.limits.memory_bytes,
                "key table exceeds its memory limit"
            );
        }
    }

    fn arrive(
        &mut self,
        daemon: usize,
        key: IdempotencyKey,
        tenant_index: usize,
        body: Digest,
        arrival: Arrival,
    ) {
        let name = claim_record_name(&key, &tenant(tenant_index));
        let table = &mut self.daemons[daemon].1;
        let claim = table.claim(&key, &tenant(tenant_index), body, arrival, self.now);
        if let Some(kind) = claim.refusal() {
            self.refuse(name, kind, claim.key_state());
            return;
        }
        let (claim, uncreated) = match claim {
            Claim::Run(claim) => (claim, None),
            Claim::CreateClaimRecord(claim, record) => (claim, Some(record)),
            Claim::Forward(owner) => {
                self.forward(owner, key, tenant_index, body);
                return;
            }
            _ => {
                assert!(
                    self.runs.contains_key(&name),
                    "replayed an answer for a key that never ran"
                );
                return;
            }
        };
        self.pending.push(Pending {
            daemon,
            name,
            claim,
            uncreated,
            reads: false,
            calls: 0,
            key,
            tenant: tenant_index,
            body,
        });
    }

    fn forward(&mut self, owner: KeyOwner, key: IdempotencyKey, tenant_index: usize, body: Digest) {
        let found = self.daemons.iter().position(|(other, _)| *other == owner);
        let Some(daemon) = found else {
            let name = claim_record_name(&key, &tenant(tenant_index));
            self.refuse(name, RefusalKind::OwnerGone, KeyState::MayHaveRun);
            return;
        };
        self.arrive(daemon, key, tenant_index, body, Arrival::Forwarded);
    }

    fn create(&mut self, name: &str, record: ClaimRecord) -> ClaimAnswer {
        if let Some((held, _)) = self.platform.get(name) {
            return ClaimAnswer::Exists(held.clone());
        }
        self.platform.insert(name.to_owned(), (record, self.now));
        ClaimAnswer::Created
    }

    fn call_platform(&mut self, pick: usize, fault: Fault) {
        let waiting = self.pending.iter().position(|p| p.uncreated.is_some());
        let Some(index) = waiting.map(|first| (first + pick).min(self.pending.len() - 1)) else {
            return;
        };
        let mut pending = self.pending.remove(index);
        let Some(record) = pending.uncreated.clone() else {
            self.pending.push(pending);
            return;
        };
        pending.calls += 1;
        let name = pending.name.clone();
        let answer = match (fault, pending.reads) {
            (Fault::Unavailable, _) => ClaimAnswer::Unavailable,
            (Fault::None, false) => self.create(&name, record.clone()),
            (Fault::None, true) => match self.platform.get(&name) {
                Some((held, _)) => ClaimAnswer::Exists(held.clone()),
                None => ClaimAnswer::Absent,
            },
            (Fault::LostAfter, false) => {
                self.create(&name, record.clone());
                ClaimAnswer::Lost
            }
            (Fault::LostDelayed, false) => {
                self.delayed.push((name.clone(), record.clone()));
                ClaimAnswer::Lost
            }
            _ => ClaimAnswer::Lost,
        };
        let deadline = self.now + DurationMs(10_000);
        let table = &mut self.daemons[pending.daemon].1;
        match next_claim_step(&answer, &record, pending.calls, self.now, deadline) {
            ClaimStep::Run => {
                table.claim_created(&pending.claim);
                pending.uncreated = None;
                self.pending.push(pending);
            }
            ClaimStep::ReadBack => {
                pending.reads = true;
                self.pending.push(pending);
            }
            ClaimStep::CreateAgain => {
                pending.reads = false;
                self.pending.push(pending);
            }
            ClaimStep::Forward(owner) => {
                table.forget(pending.claim);
                self.forward(owner, pending.key, pending.tenant, pending.body);
            }
            ClaimStep::Refuse(kind) => {
                if kind == RefusalKind::ClaimUnavailable {
                    table.release_not_run(pending.claim);
                } else {
                    table.forget(pending.claim);
                }
                self.refuse(name, kind, KeyState::MayHaveRun);
            }
        }
    }

    fn send(&mut self, pick: usize, outcome: SendOutcome) {
        let claimed = self.pending.iter().position(|p| p.uncreated.is_none());
        let Some(index) = claimed.map(|first| (first + pick).min(self.pending.len() - 1)) else {
            return;
        };
        if self.pending[index].uncreated.is_some() {
            return;
        }
        let pending = self.pending.remove(index);
        let table = &mut self.daemons[pending.daemon].1;
        if !pending.claim.may_send(self.now) {
            table.release_not_run(pending.claim);
            self.refuse(
                pending.name,
                RefusalKind::DeadlinePassed,
                KeyState::MayHaveRun,
            );
            return;
        }
        if matches!(outcome, SendOutcome::Shed) {
            table.release_not_run(pending.claim);
            self.refuse(pending.name, RefusalKind::TargetShed, KeyState::NeverRun);
            return;
        }
        let runs = self.runs.entry(pending.name.clone()).or_insert(0);
        *runs += 1;
        assert_eq!(*runs, 1, "key ran twice: {} {}", pending.key, pending.name);
        if matches!(outcome, SendOutcome::Answered) {
            table.finish_with_answer(pending.claim, Arc::new(StoredAnswer::default()));
        } else {
            table.finish_without_answer(pending.claim);
        }
    }

    fn refuse(&mut self, name: String, kind: RefusalKind, state: KeyState) {
        if refusal_outcome(kind, state) == RefusalOutcome::NotRun {
            assert!(
                !self.runs.contains_key(&name),
                "refusal {kind} says not-run for a key that ran"
            );
        }
        self.refused.push(name);
    }
}

fn check_interleavings(memory: u64) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let counts = RefCell::new(Counts::default());
    let result = TestRunner::new_with_rng(config, rng).run(&ops(), |ops| {
        let mut simulation = Simulation::new(memory);
        for op in ops {
            simulation.apply(op);
        }
        let mut counts = counts.borrow_mut();
        counts.arrivals += simulation.arrivals;
        counts.ran += simulation.runs.len() as u32;
        counts.refused += simulation.refused.len() as u32;
        for name in &simulation.refused {
            counts.refused_never_run += u32::from(!simulation.runs.contains_key(name));
        }
        Ok(())
    });
    let counts = counts.into_inner();
    println!(
        "memory {memory}: {} arrivals, {} keys ran, {} refusals, {} of them for keys that never ran",
        counts.arrivals, counts.ran, counts.refused, counts.refused_never_run
    );
    result.unwrap();
    assert!(
        counts.ran > 2 * CASES,
        "too few keys ran for the test to be meaningful"
    );
}

/// Guards against running a request twice, directly or because a wrong `not-run`
/// makes the caller resend it under a new key. For example, a second run bills a
/// customer twice.
#[test]
fn no_key_runs_twice_over_faults_and_restarts() {
    check_interleavings(1 << 20);
}

/// Guards against running a key again after its row was dropped to save memory.
/// The limit leaves room for only three rows of 144 bytes.
#[test]
fn no_key_runs_twice_under_memory_pressure() {
    check_interleavings(3 * 144 + 140);
}

/// Guards against running a request twice when its key was forwarded. The claim
/// record that the forwarding daemon saw may belong to an earlier row of the
/// owner, whose request ran and which was dropped; it does not allow a newer row
/// of the same key to run.
#[test]
fn forwarded_arrival_does_not_run_a_row_without_its_own_record() {
    let mut simulation = Simulation::new(1 << 20);
    let key: IdempotencyKey = "a".parse().unwrap();
    let arrive = |simulation: &mut Simulation, daemon| {
        simulation.arrive(daemon, key.clone(), 0, Digest::default(), Arrival::Direct);
    };
    arrive(&mut simulation, 0);
    simulation.apply(Op::CallPlatform(0, Fault::None));
    simulation.apply(Op::Send(0, SendOutcome::Unknown));
    simulation.apply(Op::AdvanceTime(2 * 60 * 60_000));
    // The row has expired. The next arrival can't reach the platform. The one
    // after it is forwarded by another daemon, which sees the first record.
    arrive(&mut simulation, 0);
    simulation.apply(Op::CallPlatform(0, Fault::Unavailable));
    arrive(&mut simulation, 1);
    simulation.apply(Op::CallPlatform(0, Fault::None));
    simulation.apply(Op::Send(0, SendOutcome::Unknown));
    assert_eq!(simulation.runs.values().sum::<u32>(), 1);
}

/// Guards against refusing new keys, or exceeding the memory limit, under a flood
/// of keys while stored answers could be dropped instead.
#[test]
fn answers_are_dropped_before_keys() {
    let owner = KeyOwner {
        host: "entry-0".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    let limits = KeyLimits {
        memory_bytes: ByteCount(1 << 20),
        ..KeyLimits::default()
    };
    let mut table = KeyTable::new(owner, limits, TimeMs(0));
    let prefix = table.issue_prefix(TimeMs(0));
    let answer = Arc::new(StoredAnswer {
        body: vec![0; 60_000].into(),
        ..StoredAnswer::default()
    });
    for number in 0..4_000 {
        let key = format!("{prefix}.{number}").parse().unwrap();
        let claim = table.claim(
            &key,
            &tenant(0),
            Digest::default(),
            Arrival::Direct,
            TimeMs(1),
        );
        let Claim::Run(claim) = claim else {
            panic!("key {number} got {claim:?}");
        };
        table.finish_with_answer(claim, Arc::clone(&answer));
        assert!(table.memory() <= limits.memory_bytes);
    }
    assert_eq!(table.key_count(), 4_000);
}

/// Guards against parsing a key in different ways: if two daemons disagreed on
/// its owner, its request would run once on each.
#[test]
fn keys_survive_formatting_and_parsing() {
    let mut seen = BTreeSet::new();
    for text in [
        "a",
        "entry-1.00000000000000ff.7.x",
        "entry-1.00000000000000ff.7.x.y",
        "a.b.c.d",
        "h.00000000000000ff.7.",
        "two words",
    ] {
        let key: IdempotencyKey = text.parse().unwrap();
        assert_eq!(key.to_string(), text);
        assert!(seen.insert(key));
    }
    let upper: IdempotencyKey = "entry-1.00000000000000FF.07.x".parse().unwrap();
    assert!(
        !seen.insert(upper),
        "a different spelling of a key parsed to a different key"
    );
    assert_eq!(
        "h.00000000000000ff.7".parse::<KeyPrefix>().unwrap().epoch.0,
        7
    );
    for text in [
        "",
        " a",
        "a ",
        "a\u{e9}",
        "a\tb",
        &"k".repeat(KEY_MAX_CHARS + 1),
    ] {
        assert!(text.parse::<IdempotencyKey>().is_err(), "{text:?}");
    }
}

/// Guards against calling an owner gone of which a daemon that has just started has not
/// heard yet, and against forwarding to a process that has replaced the owner.
#[test]
fn an_owner_is_gone_only_if_a_later_incarnation_is_known() {
    let owner = KeyOwner {
        host: "host-1".parse().expect("a valid name"),
        incarnation: Incarnation(7 << 16),
    };
    assert!(
        owner.may_run(Incarnation(0)),
        "known from the settings only"
    );
    assert!(owner.may_run(Incarnation(6 << 16)), "restarted since");
    assert!(owner.may_run(owner.incarnation));
    assert!(!owner.may_run(Incarnation(8 << 16)), "replaced");
}
