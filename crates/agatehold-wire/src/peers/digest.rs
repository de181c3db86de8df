//! Encoding and decoding of digests, the messages of the gossip protocol.

use prost::Message as _;

use agatehold_core::ejection::PermitEntry;
use agatehold_core::ejection::PermitNumber;
use agatehold_core::ejection::PermitRecord;
use agatehold_core::ejection::PermitState;
use agatehold_core::ids::Incarnation;
use agatehold_core::ids::NoteNumber;
use agatehold_core::membership::EvidenceUpdate;
use agatehold_core::membership::HeadUpdate;
use agatehold_core::membership::Heartbeat;
use agatehold_core::membership::HostPhase;
use agatehold_core::membership::JOIN_ROWS_MAX;
use agatehold_core::membership::LeavingUpdate;
use agatehold_core::membership::PeerDigest;
use agatehold_core::membership::PermitUpdate;
use agatehold_core::membership::PoisonUpdate;
use agatehold_core::membership::RowUpdate;
use agatehold_core::membership::StandingUpdate;
use agatehold_core::note::Head;
use agatehold_core::table::Table;

use crate::generated;
use crate::generated::standing::Kind;

use super::fields;
use super::fields::PeerMessageError;

/// The maximum number of permit records in one digest, one for each service with
/// permits. The design size has 340 services.
const PERMIT_RECORDS_MAX: usize = 1_024;

/// The maximum number of permits in the record of one service. No service has as
/// many targets.
const PERMIT_ENTRIES_MAX: usize = 4_096;

/// The maximum number of entries in one digest of each of these kinds: evidence,
/// poisoned requests and leaving targets.
const UPDATES_MAX: usize = 1_024;

/// Encodes a digest.
pub fn encode_digest(digest: &PeerDigest) -> Vec<u8> {
    let mut rows = Vec::new();
    for row in &digest.rows {
        rows.push(encode_row(row));
    }
    let mut permits = Vec::new();
    for update in &digest.permits {
        permits.push(encode_permits(update));
    }
    let mut evidence = Vec::new();
    for update in &digest.evidence {
        evidence.push(generated::Evidence {
            target: update.target.to_string(),
            observer: update.observer.to_string(),
            log_likelihood_ratio: update.log_likelihood_ratio,
            age_ms: update.age.0,
        });
    }
    let mut poisoned = Vec::new();
    for update in &digest.poisoned {
        poisoned.push(generated::Poison {
            fingerprint: update.fingerprint.0.to_vec(),
            target: update.target.to_string(),
            reporter: update.reporter.to_string(),
            cleared: update.cleared,
            age_ms: update.age.0,
        });
    }
    let mut leaving = Vec::new();
    for update in &digest.leaving {
        leaving.push(generated::Leaving {
            target: update.target.to_string(),
            age_ms: update.age.0,
        });
    }
    let message = generated::Digest {
        sender: Some(encode_row(&digest.sender)),
        rows,
        head: Some(generated::Head {
            number: digest.head.head.number.0,
            hash: digest.head.head.hash.0.to_vec(),
        }),
        confirmed_age_ms: digest.head.confirmed_age.map(|age| age.0),
        permits,
        evidence,
        poisoned,
        turn: digest.turn,
        leaving,
    };
    message.encode_to_vec()
}

fn encode_row(row: &RowUpdate) -> generated::Row {
    let kind = match &row.standing {
        StandingUpdate::Alive => None,
        StandingUpdate::Accused(by, age) => Some(Kind::Accused(generated::Accused {
            by: by.to_string(),
            age_ms: age.0,
        })),
        StandingUpdate::Suspected(by, age) => Some(Kind::Suspected(generated::Suspected {
            by: by.iter().map(ToString::to_string).collect(),
            age_ms: age.0,
        })),
        StandingUpdate::Gone(age) => Some(Kind::GoneAgeMs(age.0)),
    };
    generated::Row {
        host: row.host.to_string(),
        failure_domain: row.failure_domain.to_string(),
        peer_address: Some(fields::encode_address(row.peer_address)),
        caller_address: row.caller_address.map(fields::encode_address),
        incarnation: row.incarnation.0,
        heartbeat: row.heartbeat.0,
        phase: encode_phase(row.phase).into(),
        head: row.head.0,
        heard_age_ms: row.heard_age.map(|age| age.0),
        standing: kind.map(|kind| generated::Standing { kind: Some(kind) }),
    }
}

const fn encode_phase(phase: HostPhase) -> generated::Phase {
    match phase {
        HostPhase::Starting => generated::Phase::Starting,
        HostPhase::Serving => generated::Phase::Serving,
        HostPhase::Isolated => generated::Phase::Isolated,
        HostPhase::Leaving => generated::Phase::Leaving,
    }
}

fn encode_permits(update: &PermitUpdate) -> generated::Permits {
    let mut entries = Vec::new();
    for (target, entry) in update.record.entries.rows() {
        entries.push(generated::Permit {
            target: target.to_string(),
            returning: entry.state == PermitState::Returning,
            added: entry.added.0,
            since: entry.since.0,
            hold_ms: entry.hold_ms.0,
        });
    }
    generated::Permits {
        service: update.service.to_string(),
        number: update.record.number.0,
        entries,
        age_ms: update.age.0,
    }
}

/// Decodes a digest and checks that every field is present and in range.
pub fn decode_digest(body: &[u8]) -> Result<PeerDigest, PeerMessageError> {
    let message = generated::Digest::decode(body).map_err(|_| PeerMessageError::Malformed)?;
    fields::check_length(&message.rows, JOIN_ROWS_MAX, "rows")?;
    fields::check_length(&message.permits, PERMIT_RECORDS_MAX, "permits")?;
    fields::check_length(&message.evidence, UPDATES_MAX, "evidence")?;
    fields::check_length(&message.poisoned, UPDATES_MAX, "poisoned")?;
    fields::check_length(&message.leaving, UPDATES_MAX, "leaving")?;
    let sender = decode_row(&fields::required(message.sender, "sender")?)?;
    if sender.incarnation == Incarnation(0) || sender.standing != StandingUpdate::Alive {
        return Err(PeerMessageError::Field("sender"));
    }
    let mut rows = Vec::new();
    for row in &message.rows {
        rows.push(decode_row(row)?);
    }
    let head = fields::required(message.head, "head")?;
    let mut permits = Vec::new();
    for update in &message.permits {
        permits.push(decode_permits(update)?);
    }
    let mut evidence = Vec::new();
    for update in &message.evidence {
        if !update.log_likelihood_ratio.is_finite() {
            return Err(PeerMessageError::Field("log_likelihood_ratio"));
        }
        evidence.push(EvidenceUpdate {
            target: fields::parse(&update.target, "target")?,
            observer: fields::parse(&update.observer, "observer")?,
            log_likelihood_ratio: update.log_likelihood_ratio,
            age: fields::clamp_duration(update.age_ms),
        });
    }
    let mut poisoned = Vec::new();
    for update in &message.poisoned {
        poisoned.push(PoisonUpdate {
            fingerprint: fields::hash(&update.fingerprint, "fingerprint")?,
            target: fields::parse(&update.target, "target")?,
            reporter: fields::parse(&update.reporter, "reporter")?,
            cleared: update.cleared,
            age: fields::clamp_duration(update.age_ms),
        });
    }
    let mut leaving = Vec::new();
    for update in &message.leaving {
        leaving.push(LeavingUpdate {
            target: fields::parse(&update.target, "target")?,
            age: fields::clamp_duration(update.age_ms),
        });
    }
    Ok(PeerDigest {
        sender,
        turn: message.turn,
        rows,
        head: HeadUpdate {
            head: Head {
                number: NoteNumber(head.number),
                hash: fields::hash(&head.hash, "hash")?,
            },
            confirmed_age: message.confirmed_age_ms.map(fields::clamp_duration),
        },
        permits,
        evidence,
        poisoned,
        leaving,
    })
}

fn decode_row(row: &generated::Row) -> Result<RowUpdate, PeerMessageError> {
    let peer_address = fields::required(row.peer_address.as_ref(), "peer_address")?;
    let caller_address = match &row.caller_address {
        Some(address) => Some(fields::decode_address(address, "caller_address")?),
        None => None,
    };
    Ok(RowUpdate {
        host: fields::parse(&row.host, "host")?,
        failure_domain: fields::parse(&row.failure_domain, "failure_domain")?,
        peer_address: fields::decode_address(peer_address, "peer_address")?,
        caller_address,
        incarnation: Incarnation(row.incarnation),
        heartbeat: Heartbeat(row.heartbeat),
        phase: decode_phase(row.phase)?,
        head: NoteNumber(row.head),
        heard_age: row.heard_age_ms.map(fields::clamp_duration),
        standing: decode_standing(row.standing.as_ref())?,
    })
}

fn decode_phase(phase: i32) -> Result<HostPhase, PeerMessageError> {
    match generated::Phase::try_from(phase) {
        Ok(generated::Phase::Starting) => Ok(HostPhase::Starting),
        Ok(generated::Phase::Serving) => Ok(HostPhase::Serving),
        Ok(generated::Phase::Isolated) => Ok(HostPhase::Isolated),
        Ok(generated::Phase::Leaving) => Ok(HostPhase::Leaving),
        Ok(generated::Phase::Unspecified) | Err(_) => Err(PeerMessageError::Field("phase")),
    }
}

fn decode_standing(
    standing: Option<&generated::Standing>,
) -> Result<StandingUpdate, PeerMessageError> {
    let Some(standing) = standing else {
        return Ok(StandingUpdate::Alive);
    };
    match fields::required(standing.kind.as_ref(), "standing")? {
        Kind::Accused(accused) => Ok(StandingUpdate::Accused(
            fields::parse(&accused.by, "by")?,
            fields::clamp_duration(accused.age_ms),
        )),
        Kind::Suspected(suspected) => {
            let [first, second] = suspected.by.as_slice() else {
                return Err(PeerMessageError::Field("by"));
            };
            let by = [fields::parse(first, "by")?, fields::parse(second, "by")?];
            if by[0] == by[1] {
                return Err(PeerMessageError::Field("by"));
            }
            Ok(StandingUpdate::Suspected(
                by,
                fields::clamp_duration(suspected.age_ms),
            ))
        }
        Kind::GoneAgeMs(ms) => Ok(StandingUpdate::Gone(fields::clamp_duration(*ms))),
    }
}

fn decode_permits(update: &generated::Permits) -> Result<PermitUpdate, PeerMessageError> {
    fields::check_length(&update.entries, PERMIT_ENTRIES_MAX, "entries")?;
    let mut entries = Table::new();
    for entry in &update.entries {
        let state = if entry.returning {
            PermitState::Returning
        } else {
            PermitState::Ejected
        };
        let row = PermitEntry {
            state,
            added: PermitNumber(entry.added),
            since: PermitNumber(entry.since),
            hold_ms: fields::clamp_duration(entry.hold_ms),
        };
        entries.insert(fields::parse(&entry.target, "target")?, row);
    }
    Ok(PermitUpdate {
        service: fields::parse(&update.service, "service")?,
        record: PermitRecord {
            number: PermitNumber(update.number),
            entries,
        },
        age: fields::clamp_duration(update.age_ms),
    })
}
