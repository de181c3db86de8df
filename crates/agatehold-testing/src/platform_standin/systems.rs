//! The systems that run over the platform stand-in's tables.

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;

use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::platform::LeaseId;
use agatehold_wire::platform::PlatformKey;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::ValueVersion;
use agatehold_wire::platform::encode_hosts;

use crate::common::json_response;
use crate::common::text_response;

use super::control;
use super::protocol::versioned_response;
use super::tables::Call;
use super::tables::CallAction;
use super::tables::Event;
use super::tables::LeaseRow;
use super::tables::Tables;
use super::tables::ValueRow;
use super::tables::WatchRow;

/// Handles an event and runs all systems once.
pub(super) fn tick(tables: &mut Tables, now: TimeMs, event: Option<Event>) {
    expire_leases(tables, now);
    match event {
        Some(Event::Call(call)) => handle_call(tables, now, call),
        Some(Event::Control(event)) => control::handle_control_event(tables, now, event),
        None => {}
    }
    run_held_calls(tables, now);
    complete_watches(tables, now);
}

/// Returns the time of the next tick if no event arrives before.
pub(super) fn next_deadline(tables: &Tables) -> Option<TimeMs> {
    if tables.faults.paused {
        return None;
    }
    let leases = tables.leases.rows().map(|(_, row)| row.expires_at);
    let watches = tables.watches.rows().map(|(_, row)| row.until);
    leases.chain(watches).min()
}

/// Removes expired leases and the keys that are bound to them.
fn expire_leases(tables: &mut Tables, now: TimeMs) {
    if tables.faults.paused {
        return;
    }
    tables.leases.retain(|_, row| row.expires_at > now);
    let leases = &tables.leases;
    tables.values.retain(|_, row| match &row.lease {
        Some(lease) => leases.contains(lease),
        None => true,
    });
}

fn handle_call(tables: &mut Tables, now: TimeMs, call: Call) {
    *tables.calls.get_or_insert(call.request.kind(), || 0) += 1;
    if tables.faults.down {
        send(call.reply, CallAction::Close);
        return;
    }
    if tables.faults.paused {
        tables.held_calls.push(call);
        return;
    }
    run_call(tables, now, call);
}

/// Runs the calls that were held during a pause, in order of arrival.
fn run_held_calls(tables: &mut Tables, now: TimeMs) {
    if tables.faults.paused {
        return;
    }
    for call in std::mem::take(&mut tables.held_calls) {
        run_call(tables, now, call);
    }
}

fn run_call(tables: &mut Tables, now: TimeMs, call: Call) {
    let Call { request, reply } = call;
    let is_write = request.is_write();
    let response = match request {
        PlatformRequest::Get { key } => read(tables, &key),
        PlatformRequest::Watch {
            key,
            after,
            wait_ms,
        } => {
            let row = WatchRow {
                key,
                after,
                until: now + wait_ms,
                reply,
            };
            tables.watch_count += 1;
            tables.watches.insert(tables.watch_count, row);
            return;
        }
        PlatformRequest::Create { key, value, lease } => write(tables, key, None, value, lease),
        PlatformRequest::CompareAndSwap {
            key,
            version,
            value,
            lease,
        } => write(tables, key, Some(version), value, lease),
        PlatformRequest::Delete { key, version } => delete(tables, &key, version),
        PlatformRequest::ListKeys { prefix } => list_keys(tables, prefix.as_str()),
        PlatformRequest::CreateLease { ttl_ms } => create_lease(tables, now, ttl_ms),
        PlatformRequest::RenewLease { lease } => renew_lease(tables, now, &lease),
        PlatformRequest::ListHosts => list_hosts(tables, now),
    };
    if is_write && tables.faults.lose_answers > 0 {
        tables.faults.lose_answers -= 1;
        send(reply, CallAction::Close);
        return;
    }
    send(reply, CallAction::Respond(response, tables.faults.delay_ms));
}

/// Responds to the watches whose value has changed or whose wait time is over,
/// and removes those whose client has disconnected.
fn complete_watches(tables: &mut Tables, now: TimeMs) {
    if tables.faults.paused {
        return;
    }
    let mut ready = Vec::new();
    for (number, row) in tables.watches.rows() {
        let version = tables.values.get(&row.key).map(|value| value.version);
        let is_newer = version.unwrap_or_default() > row.after;
        if is_newer || row.until <= now || row.reply.is_closed() {
            ready.push(*number);
        }
    }
    for number in ready {
        let Some(row) = tables.watches.remove(&number) else {
            continue;
        };
        let response = match tables.values.get(&row.key) {
            Some(value) if value.version > row.after => value_response(value),
            _ => text_response(StatusCode::NOT_MODIFIED, ""),
        };
        send(
            row.reply,
            CallAction::Respond(response, tables.faults.delay_ms),
        );
    }
}

/// Sends an action to the traffic thread. This fails if the client has
/// disconnected, which can be ignored.
pub(super) fn send(reply: oneshot::Sender<CallAction>, action: CallAction) {
    let _ = reply.send(action);
}

fn value_response(row: &ValueRow) -> Response<Full<Bytes>> {
    versioned_response(StatusCode::OK, row.version, row.value.clone())
}

fn read(tables: &Tables, key: &PlatformKey) -> Response<Full<Bytes>> {
    match tables.values.get(key) {
        Some(row) => value_response(row),
        None => text_response(StatusCode::NOT_FOUND, ""),
    }
}

fn write(
    tables: &mut Tables,
    key: PlatformKey,
    expected_version: Option<ValueVersion>,
    value: Vec<u8>,
    lease: Option<LeaseId>,
) -> Response<Full<Bytes>> {
    let current = tables.values.get(&key).map(|row| row.version);
    if current != expected_version {
        return precondition_failed(current);
    }
    if lease.as_ref().is_some_and(|id| !tables.leases.contains(id)) {
        return text_response(StatusCode::NOT_FOUND, "");
    }
    tables.revision += 1;
    let version = ValueVersion(tables.revision);
    let row = ValueRow {
        version,
        value: value.into(),
        lease,
    };
    tables.values.insert(key, row);
    let status = match expected_version {
        Some(_) => StatusCode::OK,
        None => StatusCode::CREATED,
    };
    versioned_response(status, version, Bytes::new())
}

fn delete(
    tables: &mut Tables,
    key: &PlatformKey,
    expected_version: ValueVersion,
) -> Response<Full<Bytes>> {
    let current = tables.values.get(key).map(|row| row.version);
    if current != Some(expected_version) {
        return precondition_failed(current);
    }
    tables.values.remove(key);
    text_response(StatusCode::NO_CONTENT, "")
}

fn precondition_failed(current: Option<ValueVersion>) -> Response<Full<Bytes>> {
    let status = StatusCode::PRECONDITION_FAILED;
    match current {
        Some(version) => versioned_response(status, version, Bytes::new()),
        None => text_response(status, ""),
    }
}

fn list_keys(tables: &Tables, prefix: &str) -> Response<Full<Bytes>> {
    let mut entries = Vec::new();
    for (key, row) in tables.values.rows() {
        if key.as_str().starts_with(prefix) {
            entries.push(json!({"key": key.as_str(), "version": row.version.0}));
        }
    }
    json_response(&Value::Array(entries))
}

fn create_lease(tables: &mut Tables, now: TimeMs, ttl_ms: DurationMs) -> Response<Full<Bytes>> {
    tables.lease_count += 1;
    let name = format!("lease-{}", tables.lease_count);
    let Ok(lease) = name.parse() else {
        return text_response(StatusCode::INTERNAL_SERVER_ERROR, "");
    };
    let row = LeaseRow {
        ttl_ms,
        expires_at: now + ttl_ms,
    };
    tables.leases.insert(lease, row);
    json_response(&json!({"lease": name}))
}

fn renew_lease(tables: &mut Tables, now: TimeMs, lease: &LeaseId) -> Response<Full<Bytes>> {
    let Some(row) = tables.leases.get_mut(lease) else {
        return text_response(StatusCode::NOT_FOUND, "");
    };
    row.expires_at = now + row.ttl_ms;
    text_response(StatusCode::NO_CONTENT, "")
}

fn list_hosts(tables: &Tables, now: TimeMs) -> Response<Full<Bytes>> {
    let visible = tables
        .host_lists
        .iter()
        .rfind(|entry| entry.visible_at <= now);
    let rows = visible.map_or(&[][..], |entry| &entry.rows);
    match encode_hosts(rows) {
        Ok(bytes) => text_response(StatusCode::OK, bytes),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
