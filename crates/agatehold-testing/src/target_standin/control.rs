//! Switches faults and reads records while the targets run.

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use agatehold_core::units::TimeMs;

use crate::common::ControlEvent;
use crate::common::merge_patch;

use super::faults::Faults;
use super::faults::Silence;
use super::systems::crash;
use super::systems::renew_cuts;
use super::systems::reset_connections;
use super::tables::Tables;
use super::tables::TargetIndex;

/// The object of `POST /control`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Update {
    /// The targets concerned; all if absent.
    targets: Option<Vec<TargetIndex>>,
    /// The fields of [`Faults`] to set; the others stay.
    set: Option<Value>,
    /// Whether the faults are first set back to a healthy target's.
    #[serde(default)]
    heal: bool,
    /// Silences the connections that are open now.
    silence_existing: Option<Silence>,
    /// Crashes the targets now.
    #[serde(default)]
    crash: bool,
    /// Resets the connections that are open now.
    #[serde(default)]
    reset_existing: bool,
    /// Removes the runs that have ended from the record.
    #[serde(default)]
    forget_runs: bool,
}

/// Takes one request of the control port.
pub(super) fn take(tables: &mut Tables, now: TimeMs, event: ControlEvent) {
    // The caller of the control port may have gone, which harms nothing.
    match event {
        ControlEvent::Update(value, reply) => {
            let _ = reply.send(apply_update(tables, now, value));
        }
        ControlEvent::Read { what, query, reply } => {
            let _ = reply.send(match &*what {
                "runs" => Some(runs(tables, &query)),
                "targets" => Some(targets(tables)),
                _ => None,
            });
        }
    }
}

/// The record of runs with counts; the query `rows=0` leaves the rows out.
fn runs(tables: &Tables, query: &str) -> Value {
    let mut rows = Vec::new();
    let has_rows = query != "rows=0";
    for (_, run) in tables.runs.rows().filter(|_| has_rows) {
        rows.push(json!(run.record));
    }
    let counts: Vec<Value> = tables.targets.iter().map(|row| json!(row.counts)).collect();
    json!({"counts": counts, "runs": rows})
}

fn targets(tables: &Tables) -> Value {
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
        return Err(format!("there is no target {index}"));
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
        row.switched_at = now;
        if is_new_cut {
            renew_cuts(tables, index);
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
                .orders
                .send_modify(|order| order.silence = silence);
        }
    }
}
