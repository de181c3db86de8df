//! Pushes an accepted note to daemons and waits until it is in force.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use agatehold_core::ids::HostId;
use agatehold_core::note::Head;
use agatehold_core::note::StoredNote;
use agatehold_core::note::rollout;
use agatehold_core::note::rollout::DaemonReports;
use agatehold_core::note::rollout::RolloutProgress;
use agatehold_core::units::DurationMs;
use agatehold_settings::process::OperatorSettings;
use agatehold_wire::admin::NoteVerdict;

use crate::client::AdminClient;

/// The time between two queries of the daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Pushes `notes`, oldest first, to up to three daemons, which are chosen by their
/// last reports.
///
/// Returns the failures. They are not fatal, because gossip and the daemons that
/// watch the platform also spread the note.
pub(super) fn push(
    client: &AdminClient,
    reports: &DaemonReports,
    notes: &[StoredNote],
) -> Vec<String> {
    let mut faults = Vec::new();
    for address in rollout::push_addresses(reports) {
        let report = reports.get(&address).and_then(Option::as_ref);
        let held = report.map_or(Head::default(), |report| report.head);
        let newer = notes.iter().filter(|note| note.header.number > held.number);
        let newer: Vec<StoredNote> = newer.cloned().collect();
        if newer.is_empty() {
            continue;
        }
        match client.push(address, &newer) {
            Ok(answer) if answer.verdict == NoteVerdict::Refused => {
                let reason = answer.reason.unwrap_or_default();
                faults.push(format!("{address}: the daemon refused the note: {reason}"));
            }
            Ok(_) => {}
            Err(fault) => faults.push(fault),
        }
    }
    faults
}

/// Polls the daemons until all have `accepted` in force or the time limit is
/// reached. Prints the progress to standard error.
pub(super) fn wait(
    client: &AdminClient,
    settings: &OperatorSettings,
    accepted: Head,
    limit: DurationMs,
) -> RolloutProgress {
    let started = Instant::now();
    let limit = Duration::from_millis(limit.0);
    let mut last_line = String::new();
    loop {
        let progress = poll_once(client, settings, accepted);
        if progress.is_complete() || started.elapsed() + POLL_INTERVAL > limit {
            return progress;
        }
        let line = describe(&progress);
        if line != last_line {
            eprintln!("{line}");
            last_line = line;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Queries the daemons once.
pub(super) fn poll_once(
    client: &AdminClient,
    settings: &OperatorSettings,
    accepted: Head,
) -> RolloutProgress {
    let reports = client.reports(&settings.fleet.admin);
    let gossiped_notes = client.gossiped_notes(&reports);
    rollout::progress(accepted, &reports, &gossiped_notes)
}

/// Describes how far a note has spread.
pub(super) fn describe(progress: &RolloutProgress) -> String {
    let mut parts = vec![format!("in force on {} daemons", progress.in_force)];
    push_list(&mut parts, "behind", &progress.behind);
    push_list(
        &mut parts,
        "behind according to gossip",
        &progress.gossiped_behind,
    );
    push_list(
        &mut parts,
        "with another note of the same number in force",
        &progress.diverged,
    );
    push_list(&mut parts, "not answering", &progress.silent);
    parts.join("; ")
}

/// Returns the progress as JSON.
pub(super) fn to_json(progress: &RolloutProgress) -> serde_json::Value {
    let names =
        |hosts: &[HostId]| -> Vec<String> { hosts.iter().map(|host| host.to_string()).collect() };
    serde_json::json!({
        "complete": progress.is_complete(),
        "in_force": progress.in_force,
        "behind": names(&progress.behind),
        "behind_by_gossip": names(&progress.gossiped_behind),
        "diverged": names(&progress.diverged),
        "not_answering": progress.silent,
    })
}

fn push_list(parts: &mut Vec<String>, what: &str, names: &[impl std::fmt::Display]) {
    if names.is_empty() {
        return;
    }
    let names: Vec<String> = names.iter().map(|name| name.to_string()).collect();
    parts.push(format!("{what}: {}", names.join(", ")));
}
