//! Handles requests to the control port of the platform stand-in: injects
//! faults, sets the host list and returns call counts.

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::platform::decode_hosts;

use crate::common::ControlEvent;

use super::systems::send;
use super::tables::CallAction;
use super::tables::HostListEntry;
use super::tables::SavedRow;
use super::tables::Tables;

/// The body of `POST /control`. An absent field changes nothing.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Update {
    /// Whether calls are held without a response.
    pause: Option<bool>,
    /// Whether the connection of each call is closed without a response.
    down: Option<bool>,
    /// The delay of each response.
    delay_ms: Option<u64>,
    /// The number of next writes that take effect but get no response.
    lose_answers: Option<u32>,
    /// Saves the values and leases under this name.
    save: Option<Box<str>>,
    /// Restores the values, versions and leases saved under this name.
    restore: Option<Box<str>>,
    /// The delay until a host list becomes visible, for this and later lists.
    host_lag_ms: Option<u64>,
    /// A new host list, in the format of `GET /hosts`.
    hosts: Option<Value>,
}

/// Handles a request to the control port.
pub(super) fn handle_control_event(tables: &mut Tables, now: TimeMs, event: ControlEvent) {
    // A send fails if the client of the control port has disconnected, which
    // can be ignored.
    match event {
        ControlEvent::Update(value, reply) => {
            let _ = reply.send(apply_update(tables, now, value));
        }
        ControlEvent::Read { what, reply, .. } => {
            let _ = reply.send((&*what == "calls").then(|| call_counts(tables)));
        }
    }
}

fn call_counts(tables: &Tables) -> Value {
    let mut counts = Map::new();
    let mut total = 0;
    for (kind, count) in tables.calls.rows() {
        counts.insert((*kind).to_owned(), Value::from(*count));
        total += count;
    }
    counts.insert("total".to_owned(), Value::from(total));
    counts.insert("waiting".to_owned(), Value::from(tables.watches.len()));
    Value::Object(counts)
}

fn apply_update(tables: &mut Tables, now: TimeMs, value: Value) -> Result<(), String> {
    let update: Update = serde_json::from_value(value).map_err(|error| error.to_string())?;
    let hosts = match &update.hosts {
        Some(value) => Some(decode_hosts(value.to_string().as_bytes()).map_err(|e| e.to_string())?),
        None => None,
    };
    if let Some(name) = &update.restore {
        restore(tables, now, name)?;
    }
    if let Some(name) = update.save {
        save(tables, now, name);
    }
    if let Some(lag) = update.host_lag_ms {
        tables.host_lag_ms = DurationMs(lag);
    }
    if let Some(rows) = hosts {
        let visible_at = now + tables.host_lag_ms;
        tables
            .host_lists
            .retain(|entry| entry.visible_at < visible_at);
        tables.host_lists.push(HostListEntry { visible_at, rows });
    }
    let faults = &mut tables.faults;
    faults.paused = update.pause.unwrap_or(faults.paused);
    faults.down = update.down.unwrap_or(faults.down);
    faults.delay_ms = update.delay_ms.map_or(faults.delay_ms, DurationMs);
    faults.lose_answers = update.lose_answers.unwrap_or(faults.lose_answers);
    if faults.down {
        close_pending_calls(tables);
    }
    Ok(())
}

fn save(tables: &mut Tables, now: TimeMs, name: Box<str>) {
    let row = SavedRow {
        values: tables.values.clone(),
        leases: tables.leases.clone(),
        revision: tables.revision,
        saved_at: now,
    };
    tables.saved.insert(name, row);
}

/// Restores a saved state. Versions are reset as well, as when a store is
/// restored from a backup. Leases get the remaining time that they had when the
/// state was saved.
fn restore(tables: &mut Tables, now: TimeMs, name: &str) -> Result<(), String> {
    let Some(saved) = tables.saved.get(&Box::from(name)).cloned() else {
        return Err(format!("no saved state has the name {name}"));
    };
    tables.values = saved.values;
    tables.leases = saved.leases;
    tables.revision = saved.revision;
    for (_, row) in tables.leases.rows_mut() {
        row.expires_at = now + row.expires_at.since(saved.saved_at);
    }
    Ok(())
}

fn close_pending_calls(tables: &mut Tables) {
    let numbers: Vec<u64> = tables.watches.keys().copied().collect();
    for number in numbers {
        if let Some(row) = tables.watches.remove(&number) {
            send(row.reply, CallAction::Close);
        }
    }
    for call in std::mem::take(&mut tables.held_calls) {
        send(call.reply, CallAction::Close);
    }
}
