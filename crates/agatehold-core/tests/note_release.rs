//! Tests the release of notes with lost answers, concurrent operators and restored
//! platforms.

#![expect(clippy::unwrap_used, reason = "the notes of the tests are valid")]

use std::collections::BTreeMap;

use agatehold_core::config::ConfigTables;
use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::Note;
use agatehold_core::note::NoteChange;
use agatehold_core::note::PutAction;
use agatehold_core::note::StoredNote;
use agatehold_core::note::TenantPatch;
use agatehold_core::note::release::ChainNote;
use agatehold_core::note::release::HeadVersion;
use agatehold_core::note::release::Release;
use agatehold_core::note::release::ReleaseAnswer;
use agatehold_core::note::release::ReleaseCall;
use agatehold_core::note::release::ReleaseOutcome;
use agatehold_core::note::release::ReleaseStep;
use agatehold_core::note::release::advance;
use agatehold_core::note::touched_entities;
use agatehold_core::note::verify_descendant;
use agatehold_core::units::DurationMs;
use agatehold_core::units::RequestsPerSecond;
use agatehold_core::units::TimeMs;

const DEADLINE: TimeMs = TimeMs(10_000);

/// A simulated fault of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    NotSent,
    /// The call has no effect and no answer.
    LostBefore,
    /// The call takes effect, and its answer is lost.
    LostAfter,
    /// The answer is lost, and the call takes effect at a later time.
    Delayed,
}

const FAULTS: [Fault; 4] = [
    Fault::NotSent,
    Fault::LostBefore,
    Fault::LostAfter,
    Fault::Delayed,
];

/// A model of the platform's store.
#[derive(Clone, Debug, Default)]
struct Platform {
    version: u64,
    record: HeadRecord,
    bodies: BTreeMap<(NoteNumber, NoteId), StoredNote>,
    chain: Vec<StoredNote>,
    /// The calls with [`Fault::Delayed`] that have not taken effect yet.
    delayed: Vec<ReleaseCall>,
    /// The parsed notes of all operators, whether released or not.
    notes: BTreeMap<NoteId, Note>,
}

#[derive(Clone, Debug)]
struct Operator {
    id: NoteId,
    release: Release,
    next_step: ReleaseStep,
}

fn note(author: &str, tenant: &str) -> Note {
    let patch = TenantPatch {
        rate_per_s: RequestsPerSecond::new(5.0),
        ..TenantPatch::default()
    };
    Note {
        author: author.into(),
        comment: "".into(),
        changes: vec![NoteChange::PutTenant(
            tenant.parse().unwrap(),
            PutAction::Add,
            patch,
        )],
    }
}

fn operator(platform: &mut Platform, note: &Note, base: Option<u64>) -> Operator {
    operator_after(platform, note, base, note::Head::default())
}

/// Returns an operator whose daemons report `daemon_head` as the newest head.
fn operator_after(
    platform: &mut Platform,
    note: &Note,
    base: Option<u64>,
    daemon_head: note::Head,
) -> Operator {
    let text = format!("{} {:?}", note.author, note.changes);
    let release = Release::new(
        note.clone(),
        &text,
        base.map(NoteNumber),
        daemon_head,
        DEADLINE,
    );
    platform.notes.insert(release.id(), note.clone());
    Operator {
        id: release.id(),
        next_step: release.start(),
        release,
    }
}

fn answer(platform: &mut Platform, call: &ReleaseCall) -> ReleaseAnswer {
    match call {
        ReleaseCall::ReadHead => {
            ReleaseAnswer::Head(HeadVersion(platform.version), platform.record)
        }
        ReleaseCall::ReadChain { record, wanted, .. } => {
            let mut config = ConfigTables::default();
            let mut notes = Vec::new();
            for stored in &platform.chain {
                if stored.header.number > record.head.number {
                    break;
                }
                let note = &platform.notes[&stored.header.id];
                config = note::apply(&config, note).unwrap();
                if stored.header.number > *wanted {
                    let entities = touched_entities(note);
                    notes.push(ChainNote {
                        header: stored.header.clone(),
                        entities,
                    });
                }
            }
            ReleaseAnswer::Chain(config, notes)
        }
        ReleaseCall::CreateBody(stored) => {
            let key = (stored.header.number, stored.header.id);
            if platform.bodies.contains_key(&key) {
                return ReleaseAnswer::BodyExists;
            }
            platform.bodies.insert(key, stored.clone());
            ReleaseAnswer::BodyCreated
        }
        ReleaseCall::ReadBody(number, id) => {
            ReleaseAnswer::Body(platform.bodies.get(&(*number, *id)).cloned())
        }
        ReleaseCall::SwapHead { expected, record } => {
            if expected.0 != platform.version {
                return ReleaseAnswer::HeadMoved;
            }
            let stored = &platform.bodies[&(record.head.number, record.id)];
            platform.chain.push(stored.clone());
            platform.version += 1;
            platform.record = *record;
            ReleaseAnswer::HeadSwapped
        }
    }
}

fn answer_with_fault(platform: &mut Platform, call: &ReleaseCall, fault: Fault) -> ReleaseAnswer {
    match fault {
        Fault::None => answer(platform, call),
        Fault::NotSent => ReleaseAnswer::NotSent,
        Fault::LostBefore => ReleaseAnswer::Lost,
        Fault::LostAfter => {
            answer(platform, call);
            ReleaseAnswer::Lost
        }
        Fault::Delayed => {
            platform.delayed.push(call.clone());
            ReleaseAnswer::Lost
        }
    }
}

fn make_call(platform: &mut Platform, operator: &mut Operator, fault: Fault, now: TimeMs) {
    let ReleaseStep::Call(_, call) = operator.next_step.clone() else {
        return;
    };
    let answer = answer_with_fault(platform, &call, fault);
    operator.next_step = advance(&mut operator.release, answer, now);
}

/// Checks that the chain is valid and that each operator's outcome agrees with it.
fn check(platform: &Platform, operators: &[Operator]) {
    let headers: Vec<_> = platform
        .chain
        .iter()
        .map(|note| note.header.clone())
        .collect();
    if !headers.is_empty() {
        let head = verify_descendant(note::Head::default(), &headers).unwrap();
        assert_eq!(head, platform.record.head);
    }
    for operator in operators {
        let own = headers.iter().filter(|header| header.id == operator.id);
        let released: Vec<_> = own.collect();
        assert!(released.len() <= 1, "released twice: {operator:?}");
        let ReleaseStep::End(end) = &operator.next_step else {
            panic!("not ended: {operator:?}");
        };
        match end {
            ReleaseOutcome::Accepted { header, .. } => assert_eq!(released, [header]),
            ReleaseOutcome::Superseded { number, .. } => assert_eq!(released[0].number, *number),
            ReleaseOutcome::Unknown(_, _) => {}
            ReleaseOutcome::Conflict { winner, overlap } => {
                assert!(released.is_empty() && headers.contains(winner) && !overlap.is_empty());
            }
            _ => assert!(released.is_empty(), "{operator:?}"),
        }
    }
}

/// Explores all orders of the operators' calls with at most `faults` faults, and all
/// times at which a delayed call can take effect. Returns the number of runs.
fn explore(platform: &Platform, operators: &[Operator], faults: usize) -> usize {
    let mut runs = 0;
    let mut ended = true;
    for index in 0..operators.len() {
        if matches!(operators[index].next_step, ReleaseStep::End(_)) {
            continue;
        }
        ended = false;
        let choices = if faults > 0 { &FAULTS[..] } else { &[] };
        for fault in [Fault::None].iter().chain(choices) {
            let mut platform = platform.clone();
            let mut operators = operators.to_vec();
            make_call(&mut platform, &mut operators[index], *fault, TimeMs(0));
            let left = faults - usize::from(*fault != Fault::None);
            runs += explore(&platform, &operators, left);
        }
    }
    for index in 0..platform.delayed.len() {
        let mut platform = platform.clone();
        let call = platform.delayed.remove(index);
        answer(&mut platform, &call);
        runs += explore(&platform, operators, faults);
    }
    if ended {
        check(platform, operators);
        return runs + 1;
    }
    runs
}

/// A lost answer that is treated as a failed call would release the note twice, or
/// report it as not released although it is in force.
#[test]
fn a_release_handles_lost_answers_at_every_step() {
    let mut platform = Platform::default();
    let ana = operator(&mut platform, &note("ana", "a"), None);
    let runs = explore(&platform, &[ana], 3);
    assert!(runs > 500, "{runs}");
}

/// Two concurrent releases must not silently overwrite each other's changes.
#[test]
fn two_operators_release_in_all_interleavings() {
    for tenants in [["a", "b"], ["a", "a"]] {
        let mut platform = Platform::default();
        let ana = operator(&mut platform, &note("ana", tenants[0]), None);
        let bruno = operator(&mut platform, &note("bruno", tenants[1]), None);
        let runs = explore(&platform, &[ana, bruno], 1);
        assert!(runs > 1_000, "{runs}");
    }
}

/// Operators who change different entities must not get a conflict; of two who change
/// the same entity, one must.
#[test]
fn only_notes_that_overlap_conflict() {
    for (tenant, conflicts) in [("b", false), ("a", true)] {
        let mut platform = Platform::default();
        let mut ana = operator(&mut platform, &note("ana", "a"), None);
        let mut bruno = operator(&mut platform, &note("bruno", tenant), None);
        make_call(&mut platform, &mut ana, Fault::None, TimeMs(0));
        while !matches!(bruno.next_step, ReleaseStep::End(_)) {
            make_call(&mut platform, &mut bruno, Fault::None, TimeMs(0));
        }
        while !matches!(ana.next_step, ReleaseStep::End(_)) {
            make_call(&mut platform, &mut ana, Fault::None, TimeMs(0));
        }
        let ReleaseStep::End(end) = &ana.next_step else {
            panic!("{ana:?}");
        };
        assert_eq!(
            matches!(end, ReleaseOutcome::Conflict { .. }),
            conflicts,
            "{end:?}"
        );
        check(&platform, &[ana, bruno]);
    }
}

/// If the platform becomes unavailable, the outcome is reported as unknown only if the
/// write of the head was sent before, and as not released otherwise.
#[test]
fn an_outage_at_any_step_is_reported_accurately() {
    for step in 0..4 {
        for fault in FAULTS {
            let mut platform = Platform::default();
            let mut ana = operator(&mut platform, &note("ana", "a"), None);
            for _ in 0..step {
                make_call(&mut platform, &mut ana, Fault::None, TimeMs(0));
            }
            make_call(&mut platform, &mut ana, fault, TimeMs(0));
            let mut now = TimeMs(0);
            while let ReleaseStep::Call(delay, _) = &ana.next_step {
                assert!(
                    *delay > DurationMs(0),
                    "retries a lost call without a delay"
                );
                now = now + *delay;
                make_call(&mut platform, &mut ana, Fault::NotSent, now);
            }
            let head_write_sent = step == 3 && fault != Fault::NotSent;
            let ReleaseStep::End(end) = &ana.next_step else {
                panic!("{ana:?}");
            };
            let expected = if head_write_sent { 5 } else { 1 };
            assert_eq!(end.exit_code(), expected, "{step} {fault:?} {end:?}");
            for call in std::mem::take(&mut platform.delayed) {
                answer(&mut platform, &call);
            }
            check(&platform, &[ana]);
        }
    }
}

/// An operator whose terminal was closed repeats the command. This must not release the
/// note again, and must report if a later note has changed the same entity.
#[test]
fn a_repeated_release_finds_the_first() {
    let mut platform = Platform::default();
    let run = |platform: &mut Platform, note: &Note| {
        let mut operator = operator(platform, note, None);
        while !matches!(operator.next_step, ReleaseStep::End(_)) {
            make_call(platform, &mut operator, Fault::None, TimeMs(0));
        }
        let ReleaseStep::End(end) = operator.next_step else {
            panic!("not ended");
        };
        end
    };
    run(&mut platform, &note("ana", "a"));
    run(&mut platform, &note("bruno", "b"));
    let again = run(&mut platform, &note("ana", "a"));
    assert!(
        matches!(again, ReleaseOutcome::Accepted { repeated: true, .. }),
        "{again:?}"
    );
    let mut change = note("carla", "a");
    change.changes = vec![NoteChange::WithdrawTenant("a".parse().unwrap())];
    run(&mut platform, &change);
    let again = run(&mut platform, &note("ana", "a"));
    assert!(
        matches!(again, ReleaseOutcome::Superseded { .. }),
        "{again:?}"
    );
    assert_eq!(platform.chain.len(), 3);
}

/// A note that states an old base must not overwrite changes of the same entity since
/// then.
#[test]
fn a_base_in_the_note_is_respected() {
    let mut platform = Platform::default();
    for (author, tenant, base, code) in [
        ("ana", "a", None, 0),
        ("bruno", "a", Some(0), 4),
        ("carla", "b", Some(0), 0),
        ("dora", "c", Some(9), 3),
    ] {
        let mut operator = operator(&mut platform, &note(author, tenant), base);
        while !matches!(operator.next_step, ReleaseStep::End(_)) {
            make_call(&mut platform, &mut operator, Fault::None, TimeMs(0));
        }
        let ReleaseStep::End(end) = &operator.next_step else {
            panic!("{operator:?}");
        };
        assert_eq!(end.exit_code(), code, "{author}: {end:?}");
    }
}

/// A note that is released on a platform restored to an older state forks the chain.
/// Every daemon rejects it and all notes after it, so the release must wait until the
/// daemons have written the missing notes back.
#[test]
fn no_note_is_released_on_a_restored_platform_before_it_is_up_to_date() {
    let mut platform = Platform::default();
    let mut snapshot = Platform::default();
    for (index, tenant) in ["a", "b"].iter().enumerate() {
        if index == 1 {
            snapshot = platform.clone();
        }
        let mut operator = operator(&mut platform, &note("ana", tenant), None);
        while !matches!(operator.next_step, ReleaseStep::End(_)) {
            make_call(&mut platform, &mut operator, Fault::None, TimeMs(0));
        }
    }
    let daemon_head = platform.record.head;
    for is_brought_up_to_date in [false, true] {
        let mut restored = snapshot.clone();
        let mut bruno = operator_after(&mut restored, &note("bruno", "c"), None, daemon_head);
        let mut now = TimeMs(0);
        while let ReleaseStep::Call(delay, _) = &bruno.next_step {
            now = now + *delay;
            if is_brought_up_to_date && now > TimeMs(0) {
                restored.chain.clone_from(&platform.chain);
                restored.notes.extend(platform.notes.clone());
                restored.record = platform.record;
            }
            make_call(&mut restored, &mut bruno, Fault::None, now);
        }
        let ReleaseStep::End(end) = &bruno.next_step else {
            panic!("{bruno:?}");
        };
        let accepted = matches!(end, ReleaseOutcome::Accepted { .. });
        assert_eq!(accepted, is_brought_up_to_date, "{end:?}");
        check(&restored, &[bruno]);
    }
    let mut forked = snapshot.clone();
    let mut carla = operator(&mut forked, &note("carla", "c"), None);
    while !matches!(carla.next_step, ReleaseStep::End(_)) {
        make_call(&mut forked, &mut carla, Fault::None, TimeMs(0));
    }
    let mut dora = operator_after(&mut forked, &note("dora", "d"), None, daemon_head);
    while !matches!(dora.next_step, ReleaseStep::End(_)) {
        make_call(&mut forked, &mut dora, Fault::None, TimeMs(0));
    }
    let diverged = ReleaseOutcome::Diverged {
        daemon_note: daemon_head.number,
        head: daemon_head.number,
    };
    assert_eq!(dora.next_step, ReleaseStep::End(diverged));
}

/// The platform was restored, so that its versions have gone back, and another note has the
/// version that a write with a lost answer expects. Guards against reporting a conflict,
/// which says that the note is not released, while the write can still take effect.
#[test]
fn a_write_that_a_restored_platform_may_still_accept_is_reported_as_unknown() {
    for tenant in ["a", "b"] {
        let mut platform = Platform::default();
        let backup = platform.clone();
        let mut zoe = operator(&mut platform, &note("zoe", "z"), None);
        while !matches!(zoe.next_step, ReleaseStep::End(_)) {
            make_call(&mut platform, &mut zoe, Fault::None, TimeMs(0));
        }
        let mut ana = operator(&mut platform, &note("ana", "a"), Some(0));
        while !matches!(
            ana.next_step,
            ReleaseStep::Call(_, ReleaseCall::SwapHead { .. })
        ) {
            make_call(&mut platform, &mut ana, Fault::None, TimeMs(0));
        }
        make_call(&mut platform, &mut ana, Fault::Delayed, TimeMs(0));
        let mut restored = Platform {
            delayed: platform.delayed.clone(),
            bodies: platform.bodies.clone(),
            notes: platform.notes.clone(),
            ..backup
        };
        let mut bruno = operator(&mut restored, &note("bruno", tenant), None);
        while !matches!(bruno.next_step, ReleaseStep::End(_)) {
            make_call(&mut restored, &mut bruno, Fault::None, TimeMs(0));
        }
        while !matches!(ana.next_step, ReleaseStep::End(_)) {
            make_call(&mut restored, &mut ana, Fault::None, TimeMs(0));
        }
        let unknown = ReleaseOutcome::Unknown(NoteNumber(2), ana.id);
        assert_eq!(ana.next_step, ReleaseStep::End(unknown), "{tenant}");
        assert_eq!(restored.chain.len(), 1, "no second write was made");
        for call in std::mem::take(&mut restored.delayed) {
            answer(&mut restored, &call);
        }
        assert_eq!(restored.record.id, ana.id, "the write took effect");
    }
}
