//! Switches faults and reads counts while the platform runs.

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::platform::decode_hosts;

use crate::common::ControlEvent;

use super::systems::send;
use super::tables::HostListEntry;
use super::tables::SavedRow;
use super::tables::Tables;
use super::tables::Verdict;

/// The object of `POST /control`; a field that is absent changes nothing.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Update {
    /// Whether calls wait without an answer.
    pause: Option<bool>,
    /// Whether connections are closed.
    down: Option<bool>,
    /// How long each answer is held back.
    delay_ms: Option<u64>,
    /// The number of writes to come whose answers are lost.
    lose_answers: Option<u32>,
    /// Saves the values and leases under a name.
    save: Option<Box<str>>,
    /// Restores what was saved under a name, with its versions.
    restore: Option<Box<str>>,
    /// How long the host list lags, for lists set from now on.
    host_lag_ms: Option<u64>,
    /// The host list, in the form of `GET /hosts`.
    hosts: Option<Value>,
}

/// Takes one request of the control port.
pub(super) fn take(tables: &mut Tables, now: TimeMs, event: ControlEvent) {
    // The caller of the control port may have gone, which harms nothing.
    match event {
        ControlEvent::Update(value, reply) => {
            let _ = reply.send(apply_update(tables, now, value));
        }
        ControlEvent::Read { what, reply, .. } => {
            let _ = reply.send((&*what == "calls").then(|| calls(tables)));
        }
    }
}

fn calls(tables: &Tables) -> Value {
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
        close_waiting(tables);
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

/// Goes back to a saved state. Versions go back as well, as they do when a
/// store is restored from a backup; leases keep the time they had left.
fn restore(tables: &mut Tables, now: TimeMs, name: &str) -> Result<(), String> {
    let Some(saved) = tables.saved.get(&Box::from(name)).cloned() else {
        return Err(format!("no state was saved as {name}"));
    };
    tables.values = saved.values;
    tables.leases = saved.leases;
    tables.revision = saved.revision;
    for (_, row) in tables.leases.rows_mut() {
        row.expires_at = now + row.expires_at.since(saved.saved_at);
    }
    Ok(())
}

fn close_waiting(tables: &mut Tables) {
    let numbers: Vec<u64> = tables.watches.keys().copied().collect();
    for number in numbers {
        if let Some(row) = tables.watches.remove(&number) {
            send(row.reply, Verdict::Close);
        }
    }
    for call in std::mem::take(&mut tables.held) {
        send(call.reply, Verdict::Close);
    }
}
