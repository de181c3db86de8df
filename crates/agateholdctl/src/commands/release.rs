//! The `note release` command.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use agatehold_core::ids::NoteNumber;
use agatehold_core::note::EntityRef;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_core::note::body_digest;
use agatehold_core::note::release::ChainNote;
use agatehold_core::note::release::Release;
use agatehold_core::note::release::ReleaseAnswer;
use agatehold_core::note::release::ReleaseCall;
use agatehold_core::note::release::ReleaseOutcome;
use agatehold_core::note::release::ReleaseStep;
use agatehold_core::note::release::advance;
use agatehold_core::note::rollout;
use agatehold_core::note::rollout::RolloutProgress;
use agatehold_core::note::touched_entities;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_settings::note::ParsedNote;
use agatehold_settings::process::OperatorSettings;
use agatehold_wire::platform;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::VALUE_MAX_BYTES;
use agatehold_wire::platform::ValueVersion;

use crate::chain::ChainView;
use crate::chain::ensure_snapshot;
use crate::chain::read_body;
use crate::chain::read_chain;
use crate::chain::read_head;
use crate::client::AdminClient;
use crate::client::CallOutcome;
use crate::client::PlatformClient;
use crate::fault::ToolFault;
use crate::output;

use super::load_note;
use super::rollout as fleet_rollout;

/// The time limit of a release, as a multiple of the timeout of platform calls.
const RELEASE_LIMIT_TIMEOUTS: u64 = 15;

/// The exit code if the note was accepted but is not in force on all daemons in
/// time.
const EXIT_TIMED_OUT: u8 = 6;

/// The client and the state collected during the platform calls of a release.
struct ReleaseCalls<'a> {
    client: &'a PlatformClient,
    /// The chain as it was last read.
    view: Option<ChainView>,
    /// The note body that was last sent to the platform.
    written: Option<StoredNote>,
    /// The error of the last call that had no usable answer.
    last_fault: String,
}

/// Releases the note in `file`.
pub(super) fn run(
    settings: &OperatorSettings,
    file: &Path,
    force: bool,
    wait_ms: DurationMs,
    json: bool,
) -> Result<u8, ToolFault> {
    let (mut parsed, text) = load_note(file)?;
    if parsed.note.author.is_empty() {
        parsed.note.author = settings.fleet.author.clone();
    }
    let admin = AdminClient::new(settings.fleet.token.clone());
    let reports = admin.reports(&settings.fleet.admin);
    if !force && let Some((confirmed, all)) = rollout::lacks_majority(&reports) {
        return Err(ToolFault::Unconfirmed(confirmed, all));
    }
    let client = PlatformClient::new(&settings.platform);
    let mut calls = ReleaseCalls {
        client: &client,
        view: None,
        written: None,
        last_fault: String::new(),
    };
    let limit = settings.platform.timeout_ms.times(RELEASE_LIMIT_TIMEOUTS);
    let deadline = TimeMs(limit.0);
    let newest_held = rollout::newest_head(&reports);
    let mut release = Release::new(
        parsed.note.clone(),
        &text,
        parsed.base,
        newest_held,
        deadline,
    );
    check_size(&release, &text)?;
    let end = run_calls(&mut release, &mut calls);
    let ReleaseOutcome::Accepted { header, repeated } = &end else {
        return report(&end, &parsed, &calls.last_fault, json);
    };
    let record = header.record();
    let faults = fleet_rollout::push(&admin, &reports, &notes_to_push(&calls, header));
    if !json {
        let verb = if *repeated {
            "was already released"
        } else {
            "is released"
        };
        output::line(&format!(
            "the note {verb} as {}-{}",
            header.number, header.id
        ))?;
    }
    match ensure_snapshot(&client, &record) {
        Ok(Some(number)) => eprintln!("wrote the snapshot of note {number}"),
        Ok(None) => {}
        Err(fault) => {
            eprintln!("the snapshot was not written: {fault}; the next release tries again")
        }
    }
    let progress = if wait_ms > DurationMs(0) {
        fleet_rollout::wait(&admin, settings, record.head, wait_ms)
    } else {
        fleet_rollout::poll_once(&admin, settings, record.head)
    };
    let is_late = wait_ms > DurationMs(0) && !progress.is_complete();
    if is_late {
        // A failed push does not matter if gossip has spread the note to every
        // daemon, so push faults are printed only if the note is not in force
        // everywhere.
        for fault in faults {
            eprintln!("{fault}");
        }
    }
    print_progress(&progress, &record, *repeated, is_late, json)?;
    Ok(if is_late { EXIT_TIMED_OUT } else { 0 })
}

fn print_progress(
    progress: &RolloutProgress,
    record: &HeadRecord,
    repeated: bool,
    is_late: bool,
    json: bool,
) -> Result<(), ToolFault> {
    if json {
        return output::json(&json!({
            "outcome": "accepted", "repeated": repeated,
            "number": record.head.number.0, "id": record.id.to_string(),
            "rollout": fleet_rollout::to_json(progress),
        }));
    }
    let description = fleet_rollout::describe(progress);
    if is_late {
        return output::line(&format!(
            "not in force on every daemon in time: {description}"
        ));
    }
    output::line(&description)
}

/// Makes the platform calls that the release requests, until it ends.
fn run_calls(release: &mut Release, calls: &mut ReleaseCalls<'_>) -> ReleaseOutcome {
    let started = Instant::now();
    let mut step = release.start();
    loop {
        match step {
            ReleaseStep::End(end) => return end,
            ReleaseStep::Call(delay, call) => {
                thread::sleep(Duration::from_millis(delay.0));
                let answer = make_call(calls, &call);
                let elapsed = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
                step = advance(release, answer, TimeMs(elapsed));
            }
        }
    }
}

fn make_call(calls: &mut ReleaseCalls<'_>, call: &ReleaseCall) -> ReleaseAnswer {
    match call {
        ReleaseCall::ReadHead => match read_head(calls.client) {
            Ok((version, record)) => ReleaseAnswer::Head(version, record),
            Err(fault) => lost(calls, fault),
        },
        ReleaseCall::ReadChain {
            record,
            needed,
            wanted,
        } => match read_chain(calls.client, record, *needed, *wanted) {
            Ok(view) => {
                let notes = chain_notes(&view);
                let config = view.config.clone();
                calls.view = Some(view);
                ReleaseAnswer::Chain(config, notes)
            }
            Err(fault) => lost(calls, fault),
        },
        ReleaseCall::CreateBody(stored) => {
            calls.written = Some(stored.clone());
            create_body(calls, stored)
        }
        ReleaseCall::ReadBody(number, id) => {
            let key = platform::note_key(*number, *id);
            match read_body(calls.client, &PlatformRequest::Get { key }) {
                Ok(found) => ReleaseAnswer::Body(found),
                Err(fault) => lost(calls, fault),
            }
        }
        ReleaseCall::SwapHead { expected, record } => {
            swap_head(calls, ValueVersion(expected.0), record)
        }
    }
}

fn create_body(calls: &mut ReleaseCalls<'_>, stored: &StoredNote) -> ReleaseAnswer {
    let value = match platform::encode_note(stored) {
        Ok(value) => value,
        Err(fault) => return not_sent(calls, fault.to_string()),
    };
    let request = PlatformRequest::Create {
        key: platform::note_key(stored.header.number, stored.header.id),
        value,
        lease: None,
    };
    let answer = calls.client.call(&request);
    write_answer(
        calls,
        answer,
        ReleaseAnswer::BodyCreated,
        ReleaseAnswer::BodyExists,
    )
}

fn swap_head(
    calls: &mut ReleaseCalls<'_>,
    expected: ValueVersion,
    record: &HeadRecord,
) -> ReleaseAnswer {
    let value = match platform::encode_head(record) {
        Ok(value) => value,
        Err(fault) => return not_sent(calls, fault.to_string()),
    };
    let (key, lease) = (platform::head_key(), None);
    let request = if expected == ValueVersion(0) {
        PlatformRequest::Create { key, value, lease }
    } else {
        PlatformRequest::CompareAndSwap {
            key,
            version: expected,
            value,
            lease,
        }
    };
    let answer = calls.client.call(&request);
    write_answer(
        calls,
        answer,
        ReleaseAnswer::HeadSwapped,
        ReleaseAnswer::HeadMoved,
    )
}

/// Returns `done` if the write took effect, and `refused` if its precondition
/// failed.
fn write_answer(
    calls: &mut ReleaseCalls<'_>,
    outcome: CallOutcome,
    done: ReleaseAnswer,
    refused: ReleaseAnswer,
) -> ReleaseAnswer {
    match outcome {
        CallOutcome::Answered(PlatformAnswer::Stored { .. }) => done,
        CallOutcome::Answered(PlatformAnswer::Conflict { .. }) => refused,
        CallOutcome::Answered(other) => {
            lost(calls, format!("unexpected answer to a write: {other:?}"))
        }
        CallOutcome::Lost(fault) => lost(calls, fault),
        CallOutcome::NotSent(fault) => not_sent(calls, fault),
    }
}

fn lost(calls: &mut ReleaseCalls<'_>, fault: String) -> ReleaseAnswer {
    print_new_fault(calls, fault);
    ReleaseAnswer::Lost
}

fn not_sent(calls: &mut ReleaseCalls<'_>, fault: String) -> ReleaseAnswer {
    print_new_fault(calls, fault);
    ReleaseAnswer::NotSent
}

/// Prints a fault unless it is the same as the previous one.
fn print_new_fault(calls: &mut ReleaseCalls<'_>, fault: String) {
    if calls.last_fault != fault {
        eprintln!("platform: {fault}; trying again");
    }
    calls.last_fault = fault;
}

fn chain_notes(view: &ChainView) -> Vec<ChainNote> {
    let mut notes = Vec::new();
    for read in &view.notes {
        notes.push(ChainNote {
            header: read.stored.header.clone(),
            entities: touched_entities(&read.note),
        });
    }
    notes
}

/// Returns the accepted note and the notes before it that were read, oldest first.
fn notes_to_push(calls: &ReleaseCalls<'_>, accepted: &NoteHeader) -> Vec<StoredNote> {
    let mut notes = Vec::new();
    if let Some(view) = &calls.view {
        for read in &view.notes {
            notes.push(read.stored.clone());
        }
    }
    if let Some(written) = &calls.written
        && written.header == *accepted
        && notes.iter().all(|note| note.header != *accepted)
    {
        notes.push(written.clone());
    }
    notes
}

/// Rejects a note that is larger than a platform value may be.
fn check_size(release: &Release, text: &str) -> Result<(), ToolFault> {
    let header = NoteHeader {
        number: NoteNumber(u64::MAX),
        id: release.id(),
        prev: HeadRecord::default().head.hash,
        body: body_digest(text),
        config: HeadRecord::default().config,
        author: release.author().into(),
    };
    let record = StoredNote {
        header,
        text: text.into(),
    };
    let encoded = platform::encode_note(&record);
    let bytes = encoded
        .map_err(|fault| ToolFault::Platform(fault.to_string()))?
        .len();
    if bytes > VALUE_MAX_BYTES {
        return Err(ToolFault::NoteTooLarge(bytes, VALUE_MAX_BYTES));
    }
    Ok(())
}

/// Reports a release that was not accepted; returns the exit code.
fn report(
    end: &ReleaseOutcome,
    parsed: &ParsedNote,
    fault: &str,
    json: bool,
) -> Result<u8, ToolFault> {
    let (outcome, lines) = describe(end, parsed, fault);
    if json {
        output::json(&json!({"outcome": outcome, "detail": lines}))?;
    } else {
        for line in lines {
            eprintln!("{line}");
        }
    }
    Ok(end.exit_code())
}

fn describe(end: &ReleaseOutcome, parsed: &ParsedNote, fault: &str) -> (&'static str, Vec<String>) {
    match end {
        ReleaseOutcome::Accepted { header, .. } => (
            "accepted",
            vec![format!("released as note {}", header.number)],
        ),
        ReleaseOutcome::Conflict { winner, overlap } => (
            "conflict",
            vec![
                format!(
                    "not released: {} changes the same entities",
                    describe_note(winner)
                ),
                format!("changed by both notes: {}", entity_list(overlap)),
            ],
        ),
        ReleaseOutcome::Superseded {
            number,
            winner,
            overlap,
        } => (
            "superseded",
            vec![
                format!(
                    "already released as note {number}; since then, {} has changed the same entities",
                    describe_note(winner)
                ),
                format!("changed by both notes: {}", entity_list(overlap)),
                format!(
                    "to release it again, set base = {} in [note]",
                    winner.number
                ),
            ],
        ),
        ReleaseOutcome::Invalid { head, errors } => {
            let mut lines = vec![format!("not released: invalid after note {head}")];
            for error in errors {
                lines.push(parsed.lines.locate(error).to_string());
            }
            ("invalid", lines)
        }
        ReleaseOutcome::BaseOutOfRange { base, head } => (
            "invalid",
            vec![format!(
                "not released: base = {base} is above or too far below the newest note, {head}"
            )],
        ),
        ReleaseOutcome::Diverged { daemon_note, head } => (
            "diverged",
            vec![format!(
                "not released: daemons have note {daemon_note} in force, which the platform's chain \
                 up to note {head} lacks; was the platform restored from a backup?"
            )],
        ),
        ReleaseOutcome::BodyConflict(number, id) => (
            "conflict",
            vec![format!(
                "not released: the platform holds another note as {number}-{id}"
            )],
        ),
        ReleaseOutcome::Unavailable => (
            "unavailable",
            vec![format!(
                "not released: the platform did not answer: {fault}"
            )],
        ),
        ReleaseOutcome::TimedOut => (
            "timed-out",
            vec!["not released: the head was not written in time".to_owned()],
        ),
        ReleaseOutcome::Unknown(number, id) => (
            "unknown",
            vec![
                format!("the outcome is unknown: the platform's answer was lost: {fault}"),
                format!("to check it later, run: agateholdctl note status {number}-{id}"),
            ],
        ),
    }
}

fn describe_note(header: &NoteHeader) -> String {
    format!(
        "note {} ({}) by {}",
        header.number, header.id, header.author
    )
}

fn entity_list(overlap: &[EntityRef]) -> String {
    let names: Vec<String> = overlap.iter().map(|entity| entity.to_string()).collect();
    names.join(", ")
}
