//! Merges heads and notes from peers and the platform, and tracks which head
//! is confirmed to be the platform's.

use crate::ids::HostId;
use crate::membership::HeadUpdate;
use crate::membership::HostPhase;
use crate::membership::PeerDigest;
use crate::note::Head;
use crate::note::Note;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::HeadConfirmation;
use super::NewerHeadRow;
use super::NoteFault;
use super::NoteReplication;
use super::NoteSource;
use super::NotesAnswer;
use super::PartialSnapshot;
use super::Snapshot;
use super::log;

/// The maximum number of sources with a newer head that are remembered.
const NEWER_HEADS_MAX: usize = 4;

/// Merges the head carried by a peer's digest.
///
/// `round_trip` is set if the digest answers a message from this daemon; it is
/// the time since that message was sent. Only answers confirm a head: the
/// transit time of an incoming request is unknown, and ignoring it could keep
/// a head confirmed forever on a slow network.
pub fn merge_head(
    replication: &mut NoteReplication,
    digest: &PeerDigest,
    round_trip: Option<DurationMs>,
    now: TimeMs,
) {
    let sender = &digest.sender;
    let HeadUpdate {
        head,
        confirmed_age,
    } = digest.head;
    if sender.phase != HostPhase::Starting {
        let domain = sender.failure_domain.clone();
        replication
            .start
            .answers
            .insert(sender.host.clone(), (domain, head));
    }
    if let (Some(age), Some(round_trip)) = (confirmed_age, round_trip) {
        merge_confirmation(replication, head, now - age - round_trip);
    }
    record_newer_head(replication, NoteSource::Peer(sender.host.clone()), head);
}

/// Stores `head`, confirmed at `at`, if it is newer than the stored confirmation.
fn merge_confirmation(replication: &mut NoteReplication, head: Head, at: TimeMs) {
    let newer = match replication.confirmation {
        None => true,
        Some(confirmation) if confirmation.head == head => at > confirmation.at,
        Some(confirmation) => head.number > confirmation.head.number,
    };
    if newer {
        replication.confirmation = Some(HeadConfirmation { head, at });
    }
}

/// Records that `source` claims `head`, if that is newer than the local head.
pub(super) fn record_newer_head(replication: &mut NoteReplication, source: NoteSource, head: Head) {
    if head.number <= replication.log.head.number {
        replication.newer_heads.remove(&source);
        let differs = head.number == replication.log.head.number && head != replication.log.head;
        if differs {
            replication.count_refusal(NoteFault::Fork);
        }
        return;
    }
    if replication.newer_heads.len() >= NEWER_HEADS_MAX
        && !replication.newer_heads.contains(&source)
    {
        return;
    }
    let row = replication
        .newer_heads
        .get_or_insert(source, || NewerHeadRow {
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
/// `sent_at` is when the call was sent; the platform had this head at that
/// time or later. `waited` is how long a watch waited if it ended without a
/// change, and 0 otherwise.
pub fn platform_head(
    replication: &mut NoteReplication,
    head: Head,
    sent_at: TimeMs,
    waited: DurationMs,
    now: TimeMs,
) {
    replication.platform.waiting = false;
    replication.platform.answered_at = Some(now);
    replication.platform.head = Some(head);
    if head.number >= replication.log.head.number {
        merge_confirmation(replication, head, sent_at + waited);
    }
    record_newer_head(replication, NoteSource::Platform, head);
}

/// Records that a read or watch of the platform failed.
pub fn platform_failed(replication: &mut NoteReplication) {
    replication.platform.waiting = false;
}

/// Records that a request for notes to `source` failed.
pub fn request_failed(replication: &mut NoteReplication, source: &NoteSource) {
    if replication
        .request
        .as_ref()
        .is_some_and(|request| request.source == *source)
    {
        replication.request = None;
    }
    replication.newer_heads.remove(source);
    if replication
        .partial
        .as_ref()
        .is_some_and(|partial| partial.source == *source)
    {
        replication.partial = None;
    }
}

/// The result of merging notes from a source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Acceptance {
    /// The number of notes and snapshots that were applied.
    pub accepted: usize,
    /// Why the remaining ones were rejected, if any were.
    pub fault: Option<NoteFault>,
}

/// Merges notes received from `source`; `parse` turns a text into a note.
///
/// Only descendants of the current configuration are applied. A daemon without
/// a configuration applies nothing until [`super::StartupState`] allows it.
pub fn merge_notes(
    replication: &mut NoteReplication,
    source: &NoteSource,
    answer: &NotesAnswer,
    parse: impl Fn(&str) -> Option<Note>,
) -> Acceptance {
    if replication
        .request
        .as_ref()
        .is_some_and(|request| request.source == *source)
    {
        replication.request = None;
    }
    if replication.log.head == Head::default()
        && !replication
            .start
            .may_apply_first_config(&replication.platform)
    {
        // Too few sources have answered to choose a first configuration.
        return Acceptance::default();
    }
    let mut outcome = Acceptance::default();
    if let Some(chunk) = &answer.chunk {
        match merge_chunk(replication, source, answer, chunk, &parse) {
            Ok(applied) => outcome.accepted += usize::from(applied),
            Err(fault) => outcome.fault = Some(fault),
        }
    }
    let (accepted, fault) = log::accept(&mut replication.log, &answer.records, &parse);
    outcome.accepted += accepted;
    outcome.fault = outcome.fault.or(fault);
    if let Some(fault) = outcome.fault {
        reject_offer(replication, source, fault);
    }
    let head = replication.log.head;
    replication
        .newer_heads
        .retain(|_, row| row.head.number > head.number);
    if answer.chunk.is_none() && answer.records.is_empty() {
        // The source has no notes after the local head.
        replication.newer_heads.remove(source);
    }
    outcome
}

/// Counts a rejected offer and forgets the source's head. A confirmation of
/// that head is dropped too, as this daemon can't apply it.
fn reject_offer(replication: &mut NoteReplication, source: &NoteSource, fault: NoteFault) {
    replication.count_refusal(fault);
    let Some(row) = replication.newer_heads.remove(source) else {
        return;
    };
    if replication
        .confirmation
        .is_some_and(|confirmation| confirmation.head == row.head)
    {
        replication.confirmation = None;
    }
}

/// Adds a chunk to the partial snapshot. Returns whether it completed the
/// snapshot and the snapshot was applied.
fn merge_chunk(
    replication: &mut NoteReplication,
    source: &NoteSource,
    answer: &NotesAnswer,
    chunk: &super::SnapshotChunk,
    parse: impl Fn(&str) -> Option<Note>,
) -> Result<bool, NoteFault> {
    if chunk.index == 0 {
        replication.partial = Some(PartialSnapshot {
            source: source.clone(),
            header: chunk.header.clone(),
            text: String::new(),
            chunks: 0,
        });
    }
    let Some(partial) = &mut replication.partial else {
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
    let Some(partial) = replication.partial.take() else {
        return Ok(false);
    };
    let snapshot = Snapshot {
        header: partial.header,
        text: partial.text.into(),
    };
    log::accept_snapshot(&mut replication.log, &answer.headers, &snapshot, parse)?;
    Ok(true)
}

/// Drops the head that a removed host reported.
pub fn forget_host(replication: &mut NoteReplication, host: &HostId) {
    replication.start.answers.remove(host);
    replication
        .newer_heads
        .remove(&NoteSource::Peer(host.clone()));
}
