//! Messages between daemons and their JSON encoding: heartbeats, contents of the
//! store, evidence about targets, and pressure reports.

use serde::Deserialize;
use serde::Serialize;

use agatehold_core::dispatch::EndCounts;
use agatehold_core::dispatch::TargetUse;
use agatehold_core::dissemination::Beat;
use agatehold_core::dissemination::Revisions;
use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::roster::TargetIdentity;
use agatehold_core::units::DurationMs;
use agatehold_platform::Item;

use super::follow::Subject;

/// The maximum size of a datagram.
pub(super) const DATAGRAM_BYTES_MAX: usize = 2_048;

/// The bytes of a pressure report that the list of used targets may take. The rest
/// of [`DATAGRAM_BYTES_MAX`] is left for the service and the counts.
const USED_NAMES_BYTES_MAX: usize = 1_700;

/// The bytes that an entry in the list of used targets takes in addition to the
/// name: quotes, brackets, commas, and an age of up to four digits.
const USE_FRAME_BYTES: usize = 10;

/// The path where daemons fetch contents of the store from each other.
pub(super) const CONTENTS_PATH: &str = "/contents";

/// The keys and values of one key group, as known to one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct SubjectContents {
    /// The store revision that the contents are known up to.
    pub(super) revision: u64,
    /// The keys with their values and revisions.
    pub(super) items: Vec<Item>,
}

/// The contents of the store, as known to one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct StoreContents {
    /// The operators' configuration.
    pub(super) configuration: SubjectContents,
    /// The registered targets.
    pub(super) targets: SubjectContents,
    /// The registered daemons.
    pub(super) members: SubjectContents,
}

impl StoreContents {
    /// Returns the mutable contents of a key group.
    pub(super) const fn subject_mut(&mut self, subject: Subject) -> &mut SubjectContents {
        match subject {
            Subject::Configuration => &mut self.configuration,
            Subject::Targets => &mut self.targets,
            Subject::Members => &mut self.members,
        }
    }

    /// Returns the revisions that the key groups are known up to.
    pub(super) const fn revisions(&self) -> Revisions {
        Revisions {
            configuration: self.configuration.revision,
            targets: self.targets.revision,
            members: self.members.revision,
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
    /// connection was lost; `None` if no connection was lost.
    pub(super) crash: Option<Digest>,
    /// The daemon that made the attempt.
    pub(super) reporter: HostId,
}

/// A report that the entry daemons of a service send each other while one of them
/// considers the service under pressure, that is, too many requests fail.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PressureNews {
    /// The service.
    pub(super) service: ServiceName,
    /// How many of the sender's requests were served and not served since its last
    /// report.
    pub(super) counts: EndCounts,
    /// Whether the sender considers the service under pressure.
    pub(super) is_pressed: bool,
    /// The targets that the sender has used since its last report.
    pub(super) used: Vec<TargetUse>,
}

/// A datagram from another daemon's traffic thread.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TrafficNews {
    /// Evidence about a target.
    Evidence(Evidence),
    /// A pressure report.
    Pressure(PressureNews),
}

#[derive(Serialize, Deserialize)]
struct BeatText {
    host: String,
    configuration: u64,
    targets: u64,
    members: u64,
    store_age_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct EvidenceText {
    target: String,
    started_unix_ms: u64,
    outcome: String,
    run_ms: u64,
    moved: bool,
    crash: Option<String>,
    reporter: String,
}

#[derive(Serialize, Deserialize)]
struct PressureText {
    service: String,
    served: u32,
    unserved: u32,
    pressed: bool,
    /// The names of the used targets, and how many milliseconds ago each was
    /// used.
    used: Vec<(String, u64)>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum TrafficText {
    Evidence(EvidenceText),
    Pressure(PressureText),
}

#[derive(Serialize, Deserialize)]
struct ItemText {
    key: String,
    revision: u64,
    value: String,
}

#[derive(Serialize, Deserialize, Default)]
struct SubjectText {
    revision: u64,
    items: Vec<ItemText>,
}

#[derive(Serialize, Deserialize)]
struct ContentsText {
    configuration: Option<SubjectText>,
    targets: Option<SubjectText>,
    members: Option<SubjectText>,
}

/// Encodes a heartbeat.
pub(super) fn encode_beat(beat: &Beat) -> Vec<u8> {
    let text = BeatText {
        host: beat.host.to_string(),
        configuration: beat.revisions.configuration,
        targets: beat.revisions.targets,
        members: beat.revisions.members,
        store_age_ms: beat.store_age_ms.0,
    };
    // Strings, numbers and booleans always serialize to JSON.
    serde_json::to_vec(&text).unwrap_or_default()
}

/// Decodes a heartbeat; `None` if it is malformed.
pub(super) fn decode_beat(bytes: &[u8]) -> Option<Beat> {
    let text: BeatText = serde_json::from_slice(bytes).ok()?;
    Some(Beat {
        host: text.host.parse().ok()?,
        revisions: Revisions {
            configuration: text.configuration,
            targets: text.targets,
            members: text.members,
        },
        store_age_ms: DurationMs(text.store_age_ms),
    })
}

/// Encodes evidence about a target.
pub(super) fn encode_evidence(evidence: &Evidence) -> Vec<u8> {
    let text = EvidenceText {
        target: evidence.target.name.to_string(),
        started_unix_ms: evidence.target.started_unix_ms,
        outcome: evidence.outcome.to_string(),
        run_ms: evidence.run_ms.0,
        moved: evidence.moved,
        crash: evidence.crash.map(|crash| crash.to_string()),
        reporter: evidence.reporter.to_string(),
    };
    // Strings, numbers and booleans always serialize to JSON.
    serde_json::to_vec(&text).unwrap_or_default()
}

/// Encodes a pressure report, with as many of the used targets as fit into the
/// datagram.
pub(super) fn encode_pressure(news: &PressureNews) -> Vec<u8> {
    let mut room = USED_NAMES_BYTES_MAX;
    let mut used = Vec::new();
    for one in &news.used {
        let name = one.target.to_string();
        let Some(left) = room.checked_sub(name.len() + USE_FRAME_BYTES) else {
            break;
        };
        room = left;
        used.push((name, one.age_ms.0));
    }
    let text = PressureText {
        service: news.service.to_string(),
        served: news.counts.served,
        unserved: news.counts.unserved,
        pressed: news.is_pressed,
        used,
    };
    // Strings, numbers and booleans always serialize to JSON.
    serde_json::to_vec(&text).unwrap_or_default()
}

/// Decodes a datagram; `None` if it is malformed.
pub(super) fn decode_traffic_news(bytes: &[u8]) -> Option<TrafficNews> {
    match serde_json::from_slice(bytes).ok()? {
        TrafficText::Evidence(text) => decode_evidence(text).map(TrafficNews::Evidence),
        TrafficText::Pressure(text) => decode_pressure(text).map(TrafficNews::Pressure),
    }
}

fn decode_evidence(text: EvidenceText) -> Option<Evidence> {
    let crash = match text.crash {
        Some(crash) => Some(crash.parse().ok()?),
        None => None,
    };
    Some(Evidence {
        target: TargetIdentity {
            name: text.target.parse::<TargetName>().ok()?,
            started_unix_ms: text.started_unix_ms,
        },
        outcome: text.outcome.parse().ok()?,
        run_ms: DurationMs(text.run_ms),
        moved: text.moved,
        crash,
        reporter: text.reporter.parse().ok()?,
    })
}

fn decode_pressure(text: PressureText) -> Option<PressureNews> {
    let mut used = Vec::with_capacity(text.used.len());
    for (name, age_ms) in text.used {
        used.push(TargetUse {
            target: name.parse().ok()?,
            age_ms: DurationMs(age_ms),
        });
    }
    Some(PressureNews {
        service: text.service.parse().ok()?,
        counts: EndCounts {
            served: text.served,
            unserved: text.unserved,
        },
        is_pressed: text.pressed,
        used,
    })
}

fn subject_text(contents: &SubjectContents, known: u64) -> Option<SubjectText> {
    if contents.revision <= known {
        return None;
    }
    let mut items = Vec::with_capacity(contents.items.len());
    for item in &contents.items {
        let Some(value) = &item.value else {
            continue;
        };
        // A value that is not UTF-8 is malformed and of no use to other
        // daemons.
        let Ok(value) = std::str::from_utf8(value) else {
            continue;
        };
        items.push(ItemText {
            key: item.key.to_string(),
            revision: item.revision,
            value: value.to_owned(),
        });
    }
    Some(SubjectText {
        revision: contents.revision,
        items,
    })
}

/// Encodes the key groups that are known up to a later revision than in `known`.
pub(super) fn encode_contents(contents: &StoreContents, known: &Revisions) -> Vec<u8> {
    let text = ContentsText {
        configuration: subject_text(&contents.configuration, known.configuration),
        targets: subject_text(&contents.targets, known.targets),
        members: subject_text(&contents.members, known.members),
    };
    // Strings, numbers and booleans always serialize to JSON.
    serde_json::to_vec(&text).unwrap_or_default()
}

/// The contents fetched from another daemon; `None` for a key group of which it
/// knows nothing newer.
pub(super) struct Fetched {
    /// The operators' configuration.
    pub(super) configuration: Option<SubjectContents>,
    /// The registered targets.
    pub(super) targets: Option<SubjectContents>,
    /// The registered daemons.
    pub(super) members: Option<SubjectContents>,
}

/// Decodes fetched contents; `None` if they are malformed.
pub(super) fn decode_contents(bytes: &[u8]) -> Option<Fetched> {
    let text: ContentsText = serde_json::from_slice(bytes).ok()?;
    Some(Fetched {
        configuration: text.configuration.map(subject_contents),
        targets: text.targets.map(subject_contents),
        members: text.members.map(subject_contents),
    })
}

fn subject_contents(text: SubjectText) -> SubjectContents {
    let mut items = Vec::with_capacity(text.items.len());
    for item in text.items {
        items.push(Item {
            key: item.key.into(),
            revision: item.revision,
            value: Some(item.value.into_bytes().into()),
        });
    }
    SubjectContents {
        revision: text.revision,
        items,
    }
}

/// Returns the path and query for fetching the key groups that are newer than
/// `known`.
pub(super) fn contents_path(known: &Revisions) -> String {
    format!(
        "{CONTENTS_PATH}?configuration={}&targets={}&members={}",
        known.configuration, known.targets, known.members
    )
}

/// Parses the query that [`contents_path`] builds.
pub(super) fn parse_known(query: &str) -> Revisions {
    let mut known = Revisions::default();
    for pair in query.split('&') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        // A malformed revision counts as 0: nothing known.
        let value = value.parse().unwrap_or(0);
        match name {
            "configuration" => known.configuration = value,
            "targets" => known.targets = value,
            "members" => known.members = value,
            _ => {}
        }
    }
    known
}
