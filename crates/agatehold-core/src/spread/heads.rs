//! Which heads exist, and which of them is proved to be the platform's.

use crate::ids::HostId;
use crate::membership::HeadNews;
use crate::membership::HostPhase;
use crate::membership::PeerDigest;
use crate::note::Head;
use crate::note::Note;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::AheadRow;
use super::HeadProof;
use super::NoteFault;
use super::NoteSource;
use super::NotesAnswer;
use super::PartialSnapshot;
use super::Snapshot;
use super::Spread;
use super::log;

/// The sources with a newer head that are kept.
const AHEAD_MAX: usize = 4;

/// Merges the head that a digest carries.
///
/// `round_trip` is the time from sending the own message until now, where
/// the digest is the answer to it. Only answers confirm a head: the transit
/// time of a request is unknown, and an age that left it out could keep a
/// head confirmed for ever on a slow network.
pub fn merge_head(
    spread: &mut Spread,
    digest: &PeerDigest,
    round_trip: Option<DurationMs>,
    now: TimeMs,
) {
    let sender = &digest.sender;
    let HeadNews {
        head,
        confirmed_age,
    } = digest.head;
    if sender.phase != HostPhase::Starting {
        let domain = sender.failure_domain.clone();
        spread
            .start
            .answers
            .insert(sender.host.clone(), (domain, head));
    }
    if let (Some(age), Some(round_trip)) = (confirmed_age, round_trip) {
        merge_proof(spread, head, now - age - round_trip);
    }
    note_ahead(spread, NoteSource::Peer(sender.host.clone()), head);
}

/// Takes a head that was proved at `at` if it is newer than the known proof.
fn merge_proof(spread: &mut Spread, head: Head, at: TimeMs) {
    let newer = match spread.proof {
        None => true,
        Some(proof) if proof.head == head => at > proof.at,
        Some(proof) => head.number > proof.head.number,
    };
    if newer {
        spread.proof = Some(HeadProof { head, at });
    }
}

/// Remembers a source that claims a newer head.
pub(super) fn note_ahead(spread: &mut Spread, source: NoteSource, head: Head) {
    if head.number <= spread.log.head.number {
        spread.ahead.remove(&source);
        let differs = head.number == spread.log.head.number && head != spread.log.head;
        if differs {
            spread.count_refusal(NoteFault::Fork);
        }
        return;
    }
    if spread.ahead.len() >= AHEAD_MAX && !spread.ahead.contains(&source) {
        return;
    }
    let row = spread.ahead.get_or_insert(source, || AheadRow {
        head,
        asked_at: None,
    });
    if head.number > row.head.number {
        row.head = head;
        row.asked_at = None;
    }
}

/// Merges the platform's answer to a read or watch of the head.
///
/// `sent_at` is when the call was sent; the answer holds for some time not
/// before it. For a watch that waited in vain, `waited` is how long.
pub fn platform_head(
    spread: &mut Spread,
    head: Head,
    sent_at: TimeMs,
    waited: DurationMs,
    now: TimeMs,
) {
    spread.platform.waiting = false;
    spread.platform.answered_at = Some(now);
    spread.platform.head = Some(head);
    if head.number >= spread.log.head.number {
        merge_proof(spread, head, sent_at + waited);
    }
    note_ahead(spread, NoteSource::Platform, head);
}

/// Notes that a read or watch of the platform failed.
pub fn platform_failed(spread: &mut Spread) {
    spread.platform.waiting = false;
}

/// Notes that a request for notes failed.
pub fn request_failed(spread: &mut Spread, source: &NoteSource) {
    if spread
        .request
        .as_ref()
        .is_some_and(|request| request.source == *source)
    {
        spread.request = None;
    }
    spread.ahead.remove(source);
    if spread
        .partial
        .as_ref()
        .is_some_and(|partial| partial.source == *source)
    {
        spread.partial = None;
    }
}

/// What came of an offer of notes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Acceptance {
    /// The notes or snapshots that took effect.
    pub accepted: usize,
    /// Why the rest did not.
    pub fault: Option<NoteFault>,
}

/// Merges notes that `source` offers; `parse` turns a text into a note.
///
/// Nothing takes effect but descendants of the configuration in force, and,
/// for a daemon that starts, only what [`super::StartRow`] permits.
pub fn merge_notes(
    spread: &mut Spread,
    source: &NoteSource,
    answer: &NotesAnswer,
    parse: impl Fn(&str) -> Option<Note>,
) -> Acceptance {
    if spread
        .request
        .as_ref()
        .is_some_and(|request| request.source == *source)
    {
        spread.request = None;
    }
    if spread.log.head == Head::default() && !spread.start.permits(&spread.platform) {
        // What a starting daemon may take is not settled yet.
        return Acceptance::default();
    }
    let mut outcome = Acceptance::default();
    if let Some(chunk) = &answer.chunk {
        match merge_chunk(spread, source, answer, chunk, &parse) {
            Ok(taken) => outcome.accepted += usize::from(taken),
            Err(fault) => outcome.fault = Some(fault),
        }
    }
    let (accepted, fault) = log::accept(&mut spread.log, &answer.records, &parse);
    outcome.accepted += accepted;
    outcome.fault = outcome.fault.or(fault);
    if let Some(fault) = outcome.fault {
        refuse(spread, source, fault);
    }
    let head = spread.log.head;
    spread.ahead.retain(|_, row| row.head.number > head.number);
    if answer.chunk.is_none() && answer.records.is_empty() {
        // The source has nothing to offer after all.
        spread.ahead.remove(source);
    }
    outcome
}

/// Counts a refusal, and drops the proof of a head that is not ours to take.
fn refuse(spread: &mut Spread, source: &NoteSource, fault: NoteFault) {
    spread.count_refusal(fault);
    let Some(row) = spread.ahead.remove(source) else {
        return;
    };
    if spread.proof.is_some_and(|proof| proof.head == row.head) {
        spread.proof = None;
    }
}

/// Returns whether the chunk completed a snapshot that took effect.
fn merge_chunk(
    spread: &mut Spread,
    source: &NoteSource,
    answer: &NotesAnswer,
    chunk: &super::SnapshotChunk,
    parse: impl Fn(&str) -> Option<Note>,
) -> Result<bool, NoteFault> {
    if chunk.index == 0 {
        spread.partial = Some(PartialSnapshot {
            source: source.clone(),
            header: chunk.header.clone(),
            text: String::new(),
            chunks: 0,
        });
    }
    let Some(partial) = &mut spread.partial else {
        return Ok(false);
    };
    let continues = partial.source == *source
        && partial.header == chunk.header
        && partial.chunks == chunk.index;
    if !continues {
        return Ok(false);
    }
    partial.text.push_str(&chunk.text);
    partial.chunks += 1;
    if partial.chunks < chunk.count {
        return Ok(false);
    }
    let Some(partial) = spread.partial.take() else {
        return Ok(false);
    };
    let snapshot = Snapshot {
        header: partial.header,
        text: partial.text.into(),
    };
    log::accept_snapshot(&mut spread.log, &answer.headers, &snapshot, parse)?;
    Ok(true)
}

/// Forgets what a removed host answered.
pub fn forget_host(spread: &mut Spread, host: &HostId) {
    spread.start.answers.remove(host);
    spread.ahead.remove(&NoteSource::Peer(host.clone()));
}
