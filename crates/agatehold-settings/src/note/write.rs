//! Writing of release notes, and of a whole configuration as a snapshot note.

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
use agatehold_core::note::difference;

use super::parse::ANY;

/// Returns the text of `note`, with `base` as the newest note that its author knew.
pub fn write_note(note: &Note, base: Option<NoteNumber>) -> String {
    let mut text = write_note_section(note, base);
    for change in &note.changes {
        text.push('\n');
        text.push_str(&write_change(change));
    }
    text
}

/// Returns a note that adds every row of `config`, the configuration after the note
/// `number`.
///
/// Applying it to an empty configuration gives `config`.
pub fn snapshot_note(config: &ConfigTables, author: &str, number: NoteNumber) -> Note {
    Note {
        author: author.into(),
        comment: format!("snapshot of note {number}").into(),
        changes: difference(&ConfigTables::default(), config).changes,
    }
}

fn write_note_section(note: &Note, base: Option<NoteNumber>) -> String {
    let mut text = String::from("[note]\n");
    if !note.author.is_empty() {
        write_key(&mut text, "author", Some(&note.author));
    }
    if !note.comment.is_empty() {
        write_key(&mut text, "comment", Some(&note.comment));
    }
    write_key(&mut text, "base", base);
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
        NoteChange::PutService(_, _, patch) => write_service(&mut text, patch),
        NoteChange::PutTarget(_, _, patch) => write_target(&mut text, patch),
        NoteChange::PutRoute(_, _, patch) => write_route(&mut text, patch),
        NoteChange::PutTenant(_, _, patch) => write_tenant(&mut text, patch),
        NoteChange::WithdrawService(_)
        | NoteChange::WithdrawTarget(_)
        | NoteChange::WithdrawRoute(_)
        | NoteChange::WithdrawTenant(_) => {}
    }
    text
}

fn write_service(text: &mut String, patch: &ServicePatch) {
    write_key(text, "floor", patch.floor);
    write_key(text, "class", patch.class);
    write_detection(text, patch.detection);
    write_key(text, "queue_limit", patch.queue_limit);
    write_key(
        text,
        "queue_wait_ms",
        patch.queue_wait_ms.map(|wait| wait.0),
    );
    write_key(
        text,
        "timeout_ms",
        patch.timeout_ms.map(|timeout| timeout.0),
    );
    let budget = patch.retry_budget.map(|budget| budget.to_string());
    let budget = budget.as_deref().map(|budget| budget.trim_end_matches('%'));
    write_key(text, "retry_budget_percent", budget);
    write_key(text, "when_isolated", patch.when_isolated);
}

fn write_detection(text: &mut String, detection: Option<DetectionPolicy>) {
    let Some(detection) = detection else {
        return;
    };
    if detection == DetectionPolicy::detection_first() {
        write_key(text, "profile", Some("detection-first"));
        return;
    }
    if detection == DetectionPolicy::false_ejection_first() {
        write_key(text, "profile", Some("false-ejection-first"));
        return;
    }
    write_key(
        text,
        "max_false_ejection",
        Some(detection.max_false_ejection),
    );
    write_key(text, "max_missed", Some(detection.max_missed));
}

fn write_target(text: &mut String, patch: &TargetPatch) {
    write_key(text, "service", patch.service.as_ref());
    write_key(text, "address", patch.address);
    write_key(text, "failure_domain", patch.failure_domain.as_ref());
    write_key(text, "slots", patch.slots);
    write_key(text, "max_connections", patch.max_connections);
    write_key(text, "state", patch.state);
}

fn write_route(text: &mut String, patch: &RoutePatch) {
    write_key(text, "service", patch.service.as_ref());
    write_key(text, "path_prefix", patch.path_prefix.as_ref());
    let host = patch.host.as_deref();
    write_key(
        text,
        "host",
        host.map(|host| if host.is_empty() { ANY } else { host }),
    );
    write_key(
        text,
        "methods",
        patch.methods.as_ref().map(|methods| join_list(methods)),
    );
    write_key(text, "idempotent", patch.idempotence);
    let require_key = patch.require_key;
    write_key(
        text,
        "require_key",
        require_key.map(|yes| if yes { "yes" } else { "no" }),
    );
    write_key(
        text,
        "tenants",
        patch.tenants.as_ref().map(|tenants| join_list(tenants)),
    );
}

fn write_tenant(text: &mut String, patch: &TenantPatch) {
    write_key(text, "class", patch.class);
    write_key(text, "rate_per_s", patch.rate_per_s.map(|rate| rate.get()));
    write_key(text, "burst", patch.burst);
}

fn write_key(text: &mut String, key: &str, value: Option<impl std::fmt::Display>) {
    if let Some(value) = value {
        text.push_str(&format!("{key} = {value}\n"));
    }
}

fn join_list(values: &[impl std::fmt::Display]) -> String {
    if values.is_empty() {
        return ANY.to_owned();
    }
    let words: Vec<String> = values.iter().map(|value| value.to_string()).collect();
    words.join(", ")
}
