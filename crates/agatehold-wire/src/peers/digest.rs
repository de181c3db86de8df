//! Digests.

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

/// The most services with permits in one digest; above the 340 of the design
/// size.
const PERMITS_MAX: usize = 1_024;

/// The most permits of one service; above the targets of any service.
const PERMIT_ENTRIES_MAX: usize = 4_096;

/// The most entries of evidence in one digest, and of poisoned requests.
const NEWS_MAX: usize = 1_024;

/// Encodes a digest.
pub fn encode_digest(digest: &PeerDigest) -> Vec<u8> {
    let mut rows = Vec::new();
    for row in &digest.rows {
        rows.push(encode_row(row));
    }
    let mut permits = Vec::new();
    for news in &digest.permits {
        permits.push(encode_permits(news));
    }
    let mut evidence = Vec::new();
    for news in &digest.evidence {
        evidence.push(generated::Evidence {
            target: news.target.to_string(),
            observer: news.observer.to_string(),
            log_likelihood_ratio: news.log_likelihood_ratio,
            age_ms: news.age.0,
        });
    }
    let mut poisoned = Vec::new();
    for news in &digest.poisoned {
        poisoned.push(generated::Poison {
            fingerprint: news.fingerprint.0.to_vec(),
            target: news.target.to_string(),
            reporter: news.reporter.to_string(),
            cleared: news.cleared,
            age_ms: news.age.0,
        });
    }
    let mut leaving = Vec::new();
    for news in &digest.leaving {
        leaving.push(generated::Leaving {
            target: news.target.to_string(),
            age_ms: news.age.0,
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

fn encode_permits(news: &PermitUpdate) -> generated::Permits {
    let mut entries = Vec::new();
    for (target, entry) in news.record.entries.rows() {
        entries.push(generated::Permit {
            target: target.to_string(),
            returning: entry.state == PermitState::Returning,
            added: entry.added.0,
            since: entry.since.0,
            hold_ms: entry.hold_ms.0,
        });
    }
    generated::Permits {
        service: news.service.to_string(),
        number: news.record.number.0,
        entries,
        age_ms: news.age.0,
    }
}

/// Decodes a digest and checks every field.
pub fn decode_digest(body: &[u8]) -> Result<PeerDigest, PeerMessageError> {
    let message = generated::Digest::decode(body).map_err(|_| PeerMessageError::Malformed)?;
    fields::at_most(&message.rows, JOIN_ROWS_MAX, "rows")?;
    fields::at_most(&message.permits, PERMITS_MAX, "permits")?;
    fields::at_most(&message.evidence, NEWS_MAX, "evidence")?;
    fields::at_most(&message.poisoned, NEWS_MAX, "poisoned")?;
    fields::at_most(&message.leaving, NEWS_MAX, "leaving")?;
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
    for news in &message.permits {
        permits.push(decode_permits(news)?);
    }
    let mut evidence = Vec::new();
    for news in &message.evidence {
        if !news.log_likelihood_ratio.is_finite() {
            return Err(PeerMessageError::Field("log_likelihood_ratio"));
        }
        evidence.push(EvidenceUpdate {
            target: fields::name(&news.target, "target")?,
            observer: fields::name(&news.observer, "observer")?,
            log_likelihood_ratio: news.log_likelihood_ratio,
            age: fields::age(news.age_ms),
        });
    }
    let mut poisoned = Vec::new();
    for news in &message.poisoned {
        poisoned.push(PoisonUpdate {
            fingerprint: fields::hash(&news.fingerprint, "fingerprint")?,
            target: fields::name(&news.target, "target")?,
            reporter: fields::name(&news.reporter, "reporter")?,
            cleared: news.cleared,
            age: fields::age(news.age_ms),
        });
    }
    let mut leaving = Vec::new();
    for news in &message.leaving {
        leaving.push(LeavingUpdate {
            target: fields::name(&news.target, "target")?,
            age: fields::age(news.age_ms),
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
            confirmed_age: message.confirmed_age_ms.map(fields::age),
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
        Some(address) => Some(fields::address(address, "caller_address")?),
        None => None,
    };
    Ok(RowUpdate {
        host: fields::name(&row.host, "host")?,
        failure_domain: fields::name(&row.failure_domain, "failure_domain")?,
        peer_address: fields::address(peer_address, "peer_address")?,
        caller_address,
        incarnation: Incarnation(row.incarnation),
        heartbeat: Heartbeat(row.heartbeat),
        phase: decode_phase(row.phase)?,
        head: NoteNumber(row.head),
        heard_age: row.heard_age_ms.map(fields::age),
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
            fields::name(&accused.by, "by")?,
            fields::age(accused.age_ms),
        )),
        Kind::Suspected(suspected) => {
            let [first, second] = suspected.by.as_slice() else {
                return Err(PeerMessageError::Field("by"));
            };
            let by = [fields::name(first, "by")?, fields::name(second, "by")?];
            if by[0] == by[1] {
                return Err(PeerMessageError::Field("by"));
            }
            Ok(StandingUpdate::Suspected(by, fields::age(suspected.age_ms)))
        }
        Kind::GoneAgeMs(ms) => Ok(StandingUpdate::Gone(fields::age(*ms))),
    }
}

fn decode_permits(news: &generated::Permits) -> Result<PermitUpdate, PeerMessageError> {
    fields::at_most(&news.entries, PERMIT_ENTRIES_MAX, "entries")?;
    let mut entries = Table::new();
    for entry in &news.entries {
        let state = if entry.returning {
            PermitState::Returning
        } else {
            PermitState::Ejected
        };
        let row = PermitEntry {
            state,
            added: PermitNumber(entry.added),
            since: PermitNumber(entry.since),
            hold_ms: fields::age(entry.hold_ms),
        };
        entries.insert(fields::name(&entry.target, "target")?, row);
    }
    Ok(PermitUpdate {
        service: fields::name(&news.service, "service")?,
        record: PermitRecord {
            number: PermitNumber(news.number),
            entries,
        },
        age: fields::age(news.age_ms),
    })
}
