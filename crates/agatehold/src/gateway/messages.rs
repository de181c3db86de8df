//! Messages between daemons and their JSON encoding: heartbeats, contents of the
//! store, evidence about targets, and pressure reports.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use agatehold_core::dispatch::ServedCounts;
use agatehold_core::dispatch::TargetUse;
use agatehold_core::dissemination::KeyChange;
use agatehold_core::dissemination::Replica;
use agatehold_core::dissemination::ReplicaUpdate;
use agatehold_core::dissemination::Revisions;
use agatehold_core::dissemination::SentTime;
use agatehold_core::dissemination::StoreHeartbeat;
use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::target_registry::EndedRegistration;
use agatehold_core::target_registry::ProcessMark;
use agatehold_core::target_registry::RegistrationMark;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::units::DurationMs;
use agatehold_core::units::StoreEra;
use agatehold_core::units::StoreRevision;
use agatehold_core::units::TimeMs;

use super::allotment_messages::AskJson;
use super::allotment_messages::AskMessage;
use super::allotment_messages::GrantJson;
use super::allotment_messages::GrantMessage;
use super::allotment_messages::decode_ask;
use super::allotment_messages::decode_grant;
use super::shared::View;
use super::store_tasks::KeyGroup;

/// The maximum size of a datagram.
pub(super) const DATAGRAM_BYTES_MAX: usize = 2_048;

/// The bytes of a pressure report that the list of used targets may take. The rest
/// of [`DATAGRAM_BYTES_MAX`] is left for the service, the counts, and what a relay is
/// told.
const USED_NAMES_BYTES_MAX: usize = 1_600;

/// The bytes that an entry in the list of used targets takes in addition to the
/// name: quotes, brackets, commas, an age of up to four digits, and the process's mark of
/// up to five.
const USED_ENTRY_OVERHEAD_BYTES: usize = 16;

/// The path where daemons fetch contents of the store from each other.
pub(super) const CONTENTS_PATH: &str = "/contents";

/// The contents of the store, as known to one daemon. A replica is copied when it
/// changes while a published view still holds it.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreContents {
    /// The operators' configuration.
    pub(super) configuration: Arc<Replica>,
    /// The registered targets.
    pub(super) targets: Arc<Replica>,
    /// The registered daemons.
    pub(super) members: Arc<Replica>,
}

impl StoreContents {
    /// Returns the mutable replica of a key group.
    pub(super) fn replica_mut(&mut self, key_group: KeyGroup) -> &mut Replica {
        Arc::make_mut(match key_group {
            KeyGroup::Configuration => &mut self.configuration,
            KeyGroup::Targets => &mut self.targets,
            KeyGroup::Members => &mut self.members,
        })
    }

    /// Returns the revision of the last known change in each key group, which other
    /// daemons are told.
    pub(super) fn changed_at(&self) -> Revisions {
        Revisions {
            configuration: self.configuration.changed_at(),
            targets: self.targets.changed_at(),
            members: self.members.changed_at(),
        }
    }

    /// Returns the revision up to which each key group is complete. What others know
    /// up to it is no news.
    pub(super) fn complete_to(&self) -> Revisions {
        Revisions {
            configuration: self.configuration.complete_to(),
            targets: self.targets.complete_to(),
            members: self.members.complete_to(),
        }
    }
}

/// The result of an attempt at a target, reported by one daemon to others.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Evidence {
    /// The target.
    pub(super) target: TargetIdentity,
    /// The outcome of the attempt.
    pub(super) outcome: AttemptOutcome,
    /// How long the attempt took.
    pub(super) run_ms: DurationMs,
    /// Whether the address now belongs to another target.
    pub(super) moved: bool,
    /// The fingerprint of the request that was running in the target when the
    /// connection was lost; `None` if no connection was lost. Whether the target has
    /// crashed is told later.
    pub(super) crash: Option<Digest>,
    /// The fingerprint of the request, if it had crash marks and the target has
    /// answered it.
    pub(super) answered: Option<Digest>,
    /// The daemon that made the attempt.
    pub(super) reporter: HostId,
}

/// A report that the entry daemons of a service send each other while one of them
/// considers the service under pressure, that is, too many requests fail.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PressureMessage {
    /// The service.
    pub(super) service: ServiceName,
    /// How many of the sender's requests were served and not served since its last
    /// report.
    pub(super) counts: ServedCounts,
    /// Whether the sender considers the service under pressure.
    pub(super) is_pressed: bool,
    /// The targets that the sender has used since its last report.
    pub(super) used: Vec<TargetUse>,
}

/// A report that a target said in an answer that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LeavingMessage {
    /// The target.
    pub(super) target: TargetIdentity,
    /// The daemon that got the answer.
    pub(super) reporter: HostId,
}

/// The crash marks of a request: when its crashes are confirmed, and for a daemon that
/// has not heard of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CrashMarksMessage {
    /// The fingerprint of the request.
    pub(super) fingerprint: Digest,
    /// The marks that are not cleared.
    pub(super) marks: Vec<CrashMarkAge>,
}

/// A crash mark and its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CrashMarkAge {
    /// The target that crashed.
    pub(super) target: TargetName,
    /// The daemon that reported the crash.
    pub(super) reporter: HostId,
    /// The time since the crash.
    pub(super) age_ms: DurationMs,
}

/// A report that a target whose connection was lost has not crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct NoCrashMessage {
    /// The fingerprint of the request that was running.
    pub(super) fingerprint: Digest,
    /// The target.
    pub(super) target: TargetName,
    /// The daemon that lost the connection and has checked the target.
    pub(super) reporter: HostId,
    /// The time since the connection was lost.
    pub(super) age_ms: DurationMs,
}

/// A datagram from another daemon's traffic thread.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TrafficMessage {
    /// Evidence about a target.
    Evidence(Evidence),
    /// A pressure report.
    Pressure(PressureMessage),
    /// A target is leaving.
    Leaving(LeavingMessage),
    /// The crash marks of a request.
    CrashMarks(CrashMarksMessage),
    /// A target has not crashed.
    NoCrash(NoCrashMessage),
    /// A connection to a target was dead after this rest.
    DeadConnection(DurationMs),
    /// Another daemon asks for tokens of tenants.
    Ask(AskMessage),
    /// Another daemon grants tokens.
    Grant(GrantMessage),
}

/// Revisions are sent as [`StoreRevision::packed`].
#[derive(Serialize, Deserialize)]
struct HeartbeatJson {
    host: String,
    configuration: u64,
    targets: u64,
    members: u64,
    store_age_ms: u64,
    /// The mark of the sender's process and its clock; absent in the heartbeats of daemons
    /// that don't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    sent: Option<(u16, u64)>,
}

#[derive(Serialize, Deserialize)]
struct EvidenceJson {
    target: String,
    started_unix_ms: u64,
    outcome: String,
    run_ms: u64,
    moved: bool,
    crash: Option<String>,
    /// Absent in the datagrams of daemons that don't tell others about answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answered: Option<String>,
    reporter: String,
}

#[derive(Serialize, Deserialize)]
struct PressureJson {
    service: String,
    served: u32,
    unserved: u32,
    pressed: bool,
    /// The names of the used targets, and how many milliseconds ago each was
    /// used.
    used: Vec<(String, u64)>,
    /// The marks of the used targets' processes, in the same order; empty in the
    /// datagrams of daemons that don't tell.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    processes: Vec<u16>,
}

#[derive(Serialize, Deserialize)]
struct LeavingJson {
    leaving: String,
    started_unix_ms: u64,
    reporter: String,
}

#[derive(Serialize, Deserialize)]
struct DeadConnectionJson {
    dead_after_rest_ms: u64,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum TrafficMessageJson {
    Evidence(EvidenceJson),
    Pressure(PressureJson),
    Leaving(LeavingJson),
    CrashMarks(CrashMarksJson),
    NoCrash(NoCrashJson),
    DeadConnection(DeadConnectionJson),
    Ask(AskJson),
    Grant(GrantJson),
}

#[derive(Serialize, Deserialize)]
struct CrashMarksJson {
    crashed_by: String,
    /// The target, the reporter, and the age in milliseconds.
    marks: Vec<(String, String, u64)>,
}

#[derive(Serialize, Deserialize)]
struct NoCrashJson {
    not_crashed_by: String,
    target: String,
    reporter: String,
    age_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct ItemJson {
    key: String,
    revision: u64,
    /// Absent if the key was deleted.
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

#[derive(Serialize, Deserialize)]
struct KeyGroupJson {
    revision: u64,
    /// Whether `items` holds only what has changed; absent in the answers of
    /// daemons that always send all keys.
    #[serde(default)]
    changes_only: bool,
    items: Vec<ItemJson>,
    /// The keys that the receiver knows and that are unchanged; empty if `items`
    /// holds only what has changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    kept: Vec<Box<str>>,
}

/// What a daemon tells one that has started, which it can't learn from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PeerStatements {
    /// The targets that said that they are leaving.
    pub(super) leaving: Vec<TargetIdentity>,
    /// The crash marks of the requests that are refused.
    pub(super) crash_marks: Vec<CrashMarksMessage>,
}

#[derive(Serialize, Deserialize)]
struct EndedJson {
    target: String,
    started_unix_ms: u64,
    sequence: u64,
    era: u16,
}

#[derive(Serialize, Deserialize)]
struct ContentsJson {
    configuration: Option<KeyGroupJson>,
    targets: Option<KeyGroupJson>,
    members: Option<KeyGroupJson>,
    /// The names of removed targets, with the revision of each removal; absent in the
    /// answers of daemons that don't tell others about removals.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removed: Vec<(String, u64)>,
    /// The registrations of targets that ended in an older era of the store; absent in the
    /// answers of daemons that know no eras.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    ended: Vec<EndedJson>,
    /// The names and start times of the targets that said that they are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    leaving: Vec<(String, u64)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    crash_marks: Vec<CrashMarksJson>,
}

/// Encodes a heartbeat.
pub(super) fn encode_heartbeat(heartbeat: &StoreHeartbeat) -> Vec<u8> {
    let json = HeartbeatJson {
        host: heartbeat.host.to_string(),
        configuration: heartbeat.revisions.configuration.packed(),
        targets: heartbeat.revisions.targets.packed(),
        members: heartbeat.revisions.members.packed(),
        store_age_ms: heartbeat.store_age_ms.0,
        sent: heartbeat.sent.map(|sent| (sent.process, sent.at.0)),
    };
    // Strings, numbers and booleans always serialize to JSON.
    serde_json::to_vec(&json).unwrap_or_default()
}

/// Decodes a heartbeat; `None` if it is malformed.
pub(super) fn decode_heartbeat(bytes: &[u8]) -> Option<StoreHeartbeat> {
    let json: HeartbeatJson = serde_json::from_slice(bytes).ok()?;
    Some(StoreHeartbeat {
        host: HostId::external(&json.host),
        revisions: Revisions {
            configuration: StoreRevision::from_packed(json.configuration),
            targets: StoreRevision::from_packed(json.targets),
            members: StoreRevision::from_packed(json.members),
        },
        store_age_ms: DurationMs(json.store_age_ms),
        sent: json.sent.map(|(process, at_ms)| SentTime {
            process,
            at: TimeMs(at_ms),
        }),
    })
}

/// Encodes evidence about a target.
pub(super) fn encode_evidence(evidence: &Evidence) -> Vec<u8> {
    let json = EvidenceJson {
        target: evidence.target.name.to_string(),
        started_unix_ms: evidence.target.started_unix_ms,
        outcome: evidence.outcome.to_string(),
        run_ms: evidence.run_ms.0,
        moved: evidence.moved,
        crash: evidence.crash.map(|crash| crash.to_string()),
        answered: evidence.answered.map(|answered| answered.to_string()),
        reporter: evidence.reporter.to_string(),
    };
    // Strings, numbers and booleans always serialize to JSON.
    serde_json::to_vec(&json).unwrap_or_default()
}

/// Encodes a pressure report, with as many of the used targets as fit into the
/// datagram.
pub(super) fn encode_pressure(message: &PressureMessage) -> Vec<u8> {
    let mut remaining_bytes = USED_NAMES_BYTES_MAX;
    let mut used = Vec::new();
    let mut processes = Vec::new();
    for target_use in &message.used {
        let name = target_use.target.to_string();
        let Some(left) = remaining_bytes.checked_sub(name.len() + USED_ENTRY_OVERHEAD_BYTES) else {
            break;
        };
        remaining_bytes = left;
        used.push((name, target_use.age_ms.0));
        processes.extend(target_use.process.map(|process| process.0));
    }
    let json = PressureJson {
        service: message.service.to_string(),
        served: message.counts.served,
        unserved: message.counts.unserved,
        pressed: message.is_pressed,
        used,
        processes,
    };
    // Strings, numbers and booleans always serialize to JSON.
    serde_json::to_vec(&json).unwrap_or_default()
}

/// Encodes the report that a connection was dead after it had rested for `rested_ms`.
pub(super) fn encode_dead_connection(rested_ms: DurationMs) -> Vec<u8> {
    let json = DeadConnectionJson {
        dead_after_rest_ms: rested_ms.0,
    };
    // Numbers always serialize to JSON.
    serde_json::to_vec(&json).unwrap_or_default()
}

/// Encodes the report that a target is leaving.
pub(super) fn encode_leaving(message: &LeavingMessage) -> Vec<u8> {
    let json = LeavingJson {
        leaving: message.target.name.to_string(),
        started_unix_ms: message.target.started_unix_ms,
        reporter: message.reporter.to_string(),
    };
    // Strings and numbers always serialize to JSON.
    serde_json::to_vec(&json).unwrap_or_default()
}

/// Decodes a datagram; `None` if it is malformed.
pub(super) fn decode_traffic_message(bytes: &[u8]) -> Option<TrafficMessage> {
    match serde_json::from_slice(bytes).ok()? {
        TrafficMessageJson::Evidence(json) => decode_evidence(json).map(TrafficMessage::Evidence),
        TrafficMessageJson::Pressure(json) => decode_pressure(json).map(TrafficMessage::Pressure),
        TrafficMessageJson::Leaving(json) => decode_leaving(&json).map(TrafficMessage::Leaving),
        TrafficMessageJson::CrashMarks(json) => {
            decode_crash_marks(&json).map(TrafficMessage::CrashMarks)
        }
        TrafficMessageJson::NoCrash(json) => decode_no_crash(&json).map(TrafficMessage::NoCrash),
        TrafficMessageJson::DeadConnection(json) => Some(TrafficMessage::DeadConnection(
            DurationMs(json.dead_after_rest_ms),
        )),
        TrafficMessageJson::Ask(json) => decode_ask(json).map(TrafficMessage::Ask),
        TrafficMessageJson::Grant(json) => decode_grant(json).map(TrafficMessage::Grant),
    }
}

/// Encodes the crash marks of a request.
pub(super) fn encode_crash_marks(message: &CrashMarksMessage) -> Vec<u8> {
    // Strings and numbers always serialize to JSON.
    serde_json::to_vec(&crash_marks_json(message)).unwrap_or_default()
}

fn crash_marks_json(message: &CrashMarksMessage) -> CrashMarksJson {
    let mut marks = Vec::new();
    for mark in &message.marks {
        marks.push((
            mark.target.to_string(),
            mark.reporter.to_string(),
            mark.age_ms.0,
        ));
    }
    CrashMarksJson {
        crashed_by: message.fingerprint.to_string(),
        marks,
    }
}

fn decode_crash_marks(json: &CrashMarksJson) -> Option<CrashMarksMessage> {
    let mut marks = Vec::new();
    for (target, reporter, age_ms) in &json.marks {
        marks.push(CrashMarkAge {
            target: TargetName::external(target)?,
            reporter: HostId::external(reporter),
            age_ms: DurationMs(*age_ms),
        });
    }
    Some(CrashMarksMessage {
        fingerprint: json.crashed_by.parse().ok()?,
        marks,
    })
}

/// Encodes the report that a target has not crashed.
pub(super) fn encode_no_crash(message: &NoCrashMessage) -> Vec<u8> {
    let json = NoCrashJson {
        not_crashed_by: message.fingerprint.to_string(),
        target: message.target.to_string(),
        reporter: message.reporter.to_string(),
        age_ms: message.age_ms.0,
    };
    // Strings and numbers always serialize to JSON.
    serde_json::to_vec(&json).unwrap_or_default()
}

fn decode_no_crash(json: &NoCrashJson) -> Option<NoCrashMessage> {
    Some(NoCrashMessage {
        fingerprint: json.not_crashed_by.parse().ok()?,
        target: TargetName::external(&json.target)?,
        reporter: HostId::external(&json.reporter),
        age_ms: DurationMs(json.age_ms),
    })
}

fn decode_leaving(json: &LeavingJson) -> Option<LeavingMessage> {
    Some(LeavingMessage {
        target: TargetIdentity {
            name: TargetName::external(&json.leaving)?,
            started_unix_ms: json.started_unix_ms,
        },
        reporter: HostId::external(&json.reporter),
    })
}

fn decode_evidence(json: EvidenceJson) -> Option<Evidence> {
    let fingerprint = |text: Option<String>| text.map(|text| text.parse::<Digest>()).transpose();
    Some(Evidence {
        target: TargetIdentity {
            name: json.target.parse::<TargetName>().ok()?,
            started_unix_ms: json.started_unix_ms,
        },
        outcome: json.outcome.parse().ok()?,
        run_ms: DurationMs(json.run_ms),
        moved: json.moved,
        crash: fingerprint(json.crash).ok()?,
        answered: fingerprint(json.answered).ok()?,
        reporter: HostId::external(&json.reporter),
    })
}

fn decode_pressure(json: PressureJson) -> Option<PressureMessage> {
    let mut used = Vec::with_capacity(json.used.len());
    for (position, (name, age_ms)) in json.used.into_iter().enumerate() {
        used.push(TargetUse {
            target: TargetName::external(&name)?,
            process: json.processes.get(position).copied().map(ProcessMark),
            age_ms: DurationMs(age_ms),
        });
    }
    Some(PressureMessage {
        service: ServiceName::external(&json.service),
        counts: ServedCounts {
            served: json.served,
            unserved: json.unserved,
        },
        is_pressed: json.pressed,
        used,
    })
}

fn key_group_json(update: ReplicaUpdate) -> KeyGroupJson {
    let mut items = Vec::with_capacity(update.changes.len());
    for change in update.changes {
        let value = match &change.value {
            Some(value) => match std::str::from_utf8(value) {
                Ok(value) => Some(value.to_owned()),
                // A value that is not UTF-8 is malformed and of no use to other
                // daemons.
                Err(_) => continue,
            },
            None => None,
        };
        items.push(ItemJson {
            key: change.key.into(),
            revision: change.revision.packed(),
            value,
        });
    }
    KeyGroupJson {
        revision: update.revision.packed(),
        changes_only: !update.is_listing,
        items,
        kept: update.kept,
    }
}

/// Encodes what a daemon lacks that knows the contents up to `known`. `statements` is empty
/// unless they are asked for.
pub(super) fn encode_contents(
    view: &View,
    statements: &PeerStatements,
    known: &KnownContents,
) -> Vec<u8> {
    let contents = &view.contents;
    let update = |replica: &Replica, revision: StoreRevision| {
        let complete_to = if known.takes_changes {
            revision
        } else {
            StoreRevision::ZERO
        };
        let is_newer = replica.changed_at() > revision;
        let update = is_newer.then(|| replica.update_since(complete_to));
        update.flatten().map(key_group_json)
    };
    let revisions = &known.revisions;
    let mut removed = Vec::new();
    for (target, revision) in &view.removals {
        if known.keeps_missing || *revision > revisions.targets {
            removed.push((target.to_string(), revision.packed()));
        }
    }
    let mut ended = Vec::new();
    for registration in &view.ended {
        if known.has_started || revisions.targets.era() <= registration.era {
            ended.push(EndedJson {
                target: registration.key.to_string(),
                started_unix_ms: registration.mark.started_unix_ms,
                sequence: registration.mark.sequence,
                era: registration.era.0,
            });
        }
    }
    let mut leaving = Vec::new();
    for target in &statements.leaving {
        leaving.push((target.name.to_string(), target.started_unix_ms));
    }
    let json = ContentsJson {
        configuration: update(&contents.configuration, revisions.configuration),
        targets: update(&contents.targets, revisions.targets),
        members: update(&contents.members, revisions.members),
        removed,
        ended,
        leaving,
        crash_marks: statements
            .crash_marks
            .iter()
            .map(crash_marks_json)
            .collect(),
    };
    // Strings, numbers and booleans always serialize to JSON.
    serde_json::to_vec(&json).unwrap_or_default()
}

/// The contents fetched from another daemon; `None` for a key group of which it
/// knows nothing newer.
pub(super) struct Fetched {
    /// The operators' configuration.
    pub(super) configuration: Option<ReplicaUpdate>,
    /// The registered targets.
    pub(super) targets: Option<ReplicaUpdate>,
    /// The registered daemons.
    pub(super) members: Option<ReplicaUpdate>,
    /// The targets that the other daemon has removed, with the revision of each removal.
    pub(super) removed: Vec<(TargetName, StoreRevision)>,
    /// The registrations of targets that ended in an older era of the store.
    pub(super) ended: Vec<EndedRegistration<TargetName>>,
    /// What the other daemon tells one that has started.
    pub(super) statements: PeerStatements,
}

/// Decodes fetched contents; `None` if they are malformed.
pub(super) fn decode_contents(bytes: &[u8]) -> Option<Fetched> {
    let json: ContentsJson = serde_json::from_slice(bytes).ok()?;
    let mut removed = Vec::new();
    for (name, revision) in json.removed {
        removed.push((
            TargetName::external(&name)?,
            StoreRevision::from_packed(revision),
        ));
    }
    let mut ended = Vec::new();
    for registration in json.ended {
        ended.push(EndedRegistration {
            key: TargetName::external(&registration.target)?,
            mark: RegistrationMark {
                started_unix_ms: registration.started_unix_ms,
                sequence: registration.sequence,
                is_leaving: true,
            },
            era: StoreEra(registration.era),
        });
    }
    let mut statements = PeerStatements::default();
    for (name, started_unix_ms) in json.leaving {
        statements.leaving.push(TargetIdentity {
            name: TargetName::external(&name)?,
            started_unix_ms,
        });
    }
    for marks in &json.crash_marks {
        statements.crash_marks.push(decode_crash_marks(marks)?);
    }
    Some(Fetched {
        configuration: json.configuration.map(replica_update),
        targets: json.targets.map(replica_update),
        members: json.members.map(replica_update),
        removed,
        ended,
        statements,
    })
}

fn replica_update(json: KeyGroupJson) -> ReplicaUpdate {
    let mut changes = Vec::with_capacity(json.items.len());
    for item in json.items {
        changes.push(KeyChange {
            key: item.key.into(),
            revision: StoreRevision::from_packed(item.revision),
            value: item.value.map(|value| value.into_bytes().into()),
        });
    }
    ReplicaUpdate {
        revision: StoreRevision::from_packed(json.revision),
        is_listing: !json.changes_only,
        changes,
        kept: json.kept,
    }
}

/// What a daemon that fetches contents already knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KnownContents {
    /// The revisions that it knows.
    pub(super) revisions: Revisions,
    /// Whether it understands answers that hold only what has changed.
    pub(super) takes_changes: bool,
    /// Whether it keeps targets that the store no longer has, and asks for all removals.
    pub(super) keeps_missing: bool,
    /// Whether it has just started and asks for what the store can't tell it.
    pub(super) has_started: bool,
}

/// Returns the path and query for fetching what a daemon lacks that knows `known`.
pub(super) fn contents_path(known: &KnownContents) -> String {
    let revisions = &known.revisions;
    format!(
        "{CONTENTS_PATH}?configuration={}&targets={}&members={}&changes={}&missing={}&started={}",
        revisions.configuration.packed(),
        revisions.targets.packed(),
        revisions.members.packed(),
        u8::from(known.takes_changes),
        u8::from(known.keeps_missing),
        u8::from(known.has_started)
    )
}

/// Parses the query that [`contents_path`] builds.
pub(super) fn parse_known(query: &str) -> KnownContents {
    let mut known = KnownContents::default();
    for pair in query.split('&') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        // A malformed revision counts as 0: nothing known.
        let value: u64 = value.parse().unwrap_or(0);
        let revision = StoreRevision::from_packed(value);
        match name {
            "configuration" => known.revisions.configuration = revision,
            "targets" => known.revisions.targets = revision,
            "members" => known.revisions.members = revision,
            "changes" => known.takes_changes = value == 1,
            "missing" => known.keeps_missing = value == 1,
            "started" => known.has_started = value == 1,
            _ => {}
        }
    }
    known
}
