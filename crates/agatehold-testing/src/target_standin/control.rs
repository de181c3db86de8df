//! Handles requests to the control port of the target stand-in: injects faults
//! and returns records.

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use agatehold_core::units::TimeMs;

use crate::common::ControlEvent;
use crate::common::merge_patch;

use super::faults::Faults;
use super::faults::Silence;
use super::systems::apply_cut;
use super::systems::crash;
use super::systems::reset_connections;
use super::tables::Tables;
use super::tables::TargetIndex;

/// The body of `POST /control`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Update {
    /// The indices of the targets to change; all targets if absent.
    targets: Option<Vec<TargetIndex>>,
    /// The fields of [`Faults`] to set; others are unchanged.
    set: Option<Value>,
    /// Whether to remove all faults before `set` is applied.
    #[serde(default)]
    heal: bool,
    /// Sets the silence of the connections that are open now.
    silence_existing: Option<Silence>,
    /// Crashes the targets once.
    #[serde(default)]
    crash: bool,
    /// Resets the connections that are open now.
    #[serde(default)]
    reset_existing: bool,
    /// Deletes the records of runs that have ended.
    #[serde(default)]
    forget_runs: bool,
}

/// Handles a request to the control port.
pub(super) fn handle_control_event(tables: &mut Tables, now: TimeMs, event: ControlEvent) {
    // A send fails if the client of the control port has disconnected, which
    // can be ignored.
    match event {
        ControlEvent::Update(value, reply) => {
            let _ = reply.send(apply_update(tables, now, value));
        }
        ControlEvent::Read { what, query, reply } => {
            let _ = reply.send(match &*what {
                "runs" => Some(run_records(tables, &query)),
                "targets" => Some(target_states(tables)),
                _ => None,
            });
        }
    }
}

/// Returns the counts of each target and the records of all runs. The query
/// `rows=0` omits the records.
fn run_records(tables: &Tables, query: &str) -> Value {
    let mut rows = Vec::new();
    let has_rows = query != "rows=0";
    for (_, run) in tables.runs.rows().filter(|_| has_rows) {
        rows.push(json!(run.record));
    }
    let counts: Vec<Value> = tables.targets.iter().map(|row| json!(row.counts)).collect();
    json!({"counts": counts, "runs": rows})
}

fn target_states(tables: &Tables) -> Value {
    let rows = tables.targets.iter().map(|row| {
        json!({
            "address": row.address,
            "slots": row.slots.0,
            "in_flight": row.in_flight,
            "faults": row.faults,
        })
    });
    Value::Array(rows.collect())
}

fn apply_update(tables: &mut Tables, now: TimeMs, value: Value) -> Result<(), String> {
    let update: Update = serde_json::from_value(value).map_err(|error| error.to_string())?;
    let count = tables.targets.len();
    let chosen = update
        .targets
        .unwrap_or_else(|| (0..count).collect::<Vec<TargetIndex>>());
    if let Some(index) = chosen.iter().find(|index| **index >= count) {
        return Err(format!(
            "target index {index} is out of range, there are {count} targets"
        ));
    }
    let patch = update.set.unwrap_or_else(|| json!({}));
    let mut patched = Vec::new();
    for index in &chosen {
        let base = if update.heal {
            Faults::default()
        } else {
            tables.targets[*index].faults.clone()
        };
        patched.push(merge_patch(&base, &patch)?);
    }
    for (index, faults) in chosen.into_iter().zip(patched) {
        let row = &mut tables.targets[index];
        let is_new_cut = patch.get("cut").is_some() || faults.cut != row.faults.cut;
        row.faults = faults;
        row.faults_set_at = now;
        if is_new_cut {
            apply_cut(tables, index);
        }
        if let Some(silence) = update.silence_existing {
            silence_connections(tables, index, silence);
        }
        if update.reset_existing {
            reset_connections(tables, index);
        }
        if update.crash {
            crash(tables, now, index);
        }
        if update.forget_runs {
            tables
                .runs
                .retain(|_, run| run.record.target != index || run.record.end.is_none());
        }
    }
    Ok(())
}

fn silence_connections(tables: &mut Tables, target: TargetIndex, silence: Silence) {
    for (_, connection) in tables.connections.rows() {
        if connection.target == target {
            connection
                .fault_updates
                .send_modify(|faults| faults.silence = silence);
        }
    }
}
