//! Writes release notes, and a whole configuration as one.

use agatehold_core::config::ConfigTables;
use agatehold_core::config::DetectionPolicy;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::Note;
use agatehold_core::note::NoteChange;
use agatehold_core::note::PutAction;
use agatehold_core::note::RoutePatch;
use agatehold_core::note::ServicePatch;
use agatehold_core::note::TargetPatch;
use agatehold_core::note::TenantPatch;

use super::parse::ANY;

/// The largest chunk of a snapshot in bytes (section 4 of the design page);
/// the platform's values end at 1 MB.
pub const SNAPSHOT_CHUNK_MAX_BYTES: usize = 512 * 1_024;

/// Returns the text of `note`.
pub fn write_note(note: &Note, base: Option<NoteNumber>) -> String {
    let mut text = write_head(note, base);
    for change in &note.changes {
        text.push('\n');
        text.push_str(&write_change(change));
    }
    text
}

/// Returns the text of `note` in chunks of at most `max_bytes`.
///
/// Chunks begin and end with whole sections. A section longer than
/// `max_bytes` is a chunk of its own.
pub fn snapshot_chunks(note: &Note, max_bytes: usize) -> Vec<String> {
    let mut chunks = Vec::new();
    let mut chunk = write_head(note, None);
    for change in &note.changes {
        let section = write_change(change);
        if chunk.len() + section.len() + 1 > max_bytes {
            chunks.push(std::mem::take(&mut chunk));
        }
        chunk.push('\n');
        chunk.push_str(&section);
    }
    chunks.push(chunk);
    chunks
}

/// Returns `config` as a note that adds every row.
///
/// Applied to an empty configuration, it gives `config` again.
pub fn snapshot_note(config: &ConfigTables, author: &str, number: NoteNumber) -> Note {
    let mut changes = Vec::new();
    for (name, row) in config.services.rows() {
        let patch = ServicePatch {
            floor: Some(row.floor),
            class: Some(row.class),
            detection: Some(row.detection),
            queue_limit: Some(row.queue_limit),
            queue_wait_ms: Some(row.queue_wait_ms),
            timeout_ms: Some(row.timeout_ms),
            retry_budget: Some(row.retry_budget),
            when_isolated: Some(row.when_isolated),
        };
        changes.push(NoteChange::PutService(name.clone(), PutAction::Add, patch));
    }
    for (name, row) in config.targets.rows() {
        let patch = TargetPatch {
            service: Some(row.service.clone()),
            address: Some(row.address),
            failure_domain: Some(row.failure_domain.clone()),
            slots: Some(row.slots),
            max_connections: Some(row.max_connections),
            state: Some(row.state),
        };
        changes.push(NoteChange::PutTarget(name.clone(), PutAction::Add, patch));
    }
    for (name, row) in config.routes.rows() {
        let patch = RoutePatch {
            service: Some(row.service.clone()),
            path_prefix: Some(row.path_prefix.clone()),
            host: row.host.clone(),
            methods: Some(row.methods.clone()),
            idempotence: Some(row.idempotence),
            require_key: Some(row.require_key),
            tenants: Some(row.tenants.clone()),
        };
        changes.push(NoteChange::PutRoute(name.clone(), PutAction::Add, patch));
    }
    for (name, row) in config.tenants.rows() {
        let patch = TenantPatch {
            class: Some(row.class),
            rate_per_s: Some(row.rate_per_s),
            burst: Some(row.burst),
        };
        changes.push(NoteChange::PutTenant(name.clone(), PutAction::Add, patch));
    }
    Note {
        author: author.into(),
        comment: format!("snapshot of note {number}").into(),
        changes,
    }
}

fn write_head(note: &Note, base: Option<NoteNumber>) -> String {
    let mut text = String::from("[note]\n");
    if !note.author.is_empty() {
        push_key(&mut text, "author", Some(&note.author));
    }
    if !note.comment.is_empty() {
        push_key(&mut text, "comment", Some(&note.comment));
    }
    push_key(&mut text, "base", base);
    text
}

fn write_change(change: &NoteChange) -> String {
    let mut text = format!("[{}]\n", change.entity());
    let action = match change {
        NoteChange::PutService(_, action, _)
        | NoteChange::PutTarget(_, action, _)
        | NoteChange::PutRoute(_, action, _)
        | NoteChange::PutTenant(_, action, _) => *action,
        NoteChange::WithdrawService(_)
        | NoteChange::WithdrawTarget(_)
        | NoteChange::WithdrawRoute(_)
        | NoteChange::WithdrawTenant(_) => {
            text.push_str("action = withdraw\n");
            return text;
        }
    };
    if action == PutAction::Change {
        text.push_str("action = change\n");
    }
    match change {
        NoteChange::PutService(_, _, patch) => push_service(&mut text, patch),
        NoteChange::PutTarget(_, _, patch) => push_target(&mut text, patch),
        NoteChange::PutRoute(_, _, patch) => push_route(&mut text, patch),
        NoteChange::PutTenant(_, _, patch) => push_tenant(&mut text, patch),
        NoteChange::WithdrawService(_)
        | NoteChange::WithdrawTarget(_)
        | NoteChange::WithdrawRoute(_)
        | NoteChange::WithdrawTenant(_) => {}
    }
    text
}

fn push_service(text: &mut String, patch: &ServicePatch) {
    push_key(text, "floor", patch.floor);
    push_key(text, "class", patch.class);
    push_detection(text, patch.detection);
    push_key(text, "queue_limit", patch.queue_limit);
    push_key(
        text,
        "queue_wait_ms",
        patch.queue_wait_ms.map(|wait| wait.0),
    );
    push_key(
        text,
        "timeout_ms",
        patch.timeout_ms.map(|timeout| timeout.0),
    );
    let budget = patch.retry_budget.map(|budget| budget.to_string());
    let budget = budget.as_deref().map(|budget| budget.trim_end_matches('%'));
    push_key(text, "retry_budget_percent", budget);
    push_key(text, "when_isolated", patch.when_isolated);
}

fn push_detection(text: &mut String, detection: Option<DetectionPolicy>) {
    let Some(detection) = detection else {
        return;
    };
    if detection == DetectionPolicy::detection_first() {
        push_key(text, "profile", Some("detection-first"));
        return;
    }
    if detection == DetectionPolicy::false_ejection_first() {
        push_key(text, "profile", Some("false-ejection-first"));
        return;
    }
    push_key(
        text,
        "max_false_ejection",
        Some(detection.max_false_ejection),
    );
    push_key(text, "max_missed", Some(detection.max_missed));
}

fn push_target(text: &mut String, patch: &TargetPatch) {
    push_key(text, "service", patch.service.as_ref());
    push_key(text, "address", patch.address);
    push_key(text, "failure_domain", patch.failure_domain.as_ref());
    push_key(text, "slots", patch.slots);
    push_key(text, "max_connections", patch.max_connections);
    push_key(text, "state", patch.state);
}

fn push_route(text: &mut String, patch: &RoutePatch) {
    push_key(text, "service", patch.service.as_ref());
    push_key(text, "path_prefix", patch.path_prefix.as_ref());
    let host = patch.host.as_deref();
    push_key(
        text,
        "host",
        host.map(|host| if host.is_empty() { ANY } else { host }),
    );
    push_key(
        text,
        "methods",
        patch.methods.as_ref().map(|methods| list(methods)),
    );
    push_key(text, "idempotent", patch.idempotence);
    let require_key = patch.require_key;
    push_key(
        text,
        "require_key",
        require_key.map(|yes| if yes { "yes" } else { "no" }),
    );
    push_key(
        text,
        "tenants",
        patch.tenants.as_ref().map(|tenants| list(tenants)),
    );
}

fn push_tenant(text: &mut String, patch: &TenantPatch) {
    push_key(text, "class", patch.class);
    push_key(text, "rate_per_s", patch.rate_per_s.map(|rate| rate.get()));
    push_key(text, "burst", patch.burst);
}

fn push_key(text: &mut String, key: &str, value: Option<impl std::fmt::Display>) {
    if let Some(value) = value {
        text.push_str(&format!("{key} = {value}\n"));
    }
}

fn list(values: &[impl std::fmt::Display]) -> String {
    if values.is_empty() {
        return ANY.to_owned();
    }
    let words: Vec<String> = values.iter().map(|value| value.to_string()).collect();
    words.join(", ")
}
