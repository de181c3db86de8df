//! The systems that run over the platform's tables.

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
use super::tables::Event;
use super::tables::LeaseRow;
use super::tables::Tables;
use super::tables::ValueRow;
use super::tables::Verdict;
use super::tables::WatchRow;

/// Runs all systems once.
pub(super) fn tick(tables: &mut Tables, now: TimeMs, event: Option<Event>) {
    expire_leases(tables, now);
    match event {
        Some(Event::Call(call)) => take_call(tables, now, call),
        Some(Event::Control(event)) => control::take(tables, now, event),
        None => {}
    }
    run_held_calls(tables, now);
    answer_watches(tables, now);
}

/// Returns when the next system has work, if nothing arrives before.
pub(super) fn next_deadline(tables: &Tables) -> Option<TimeMs> {
    if tables.faults.paused {
        return None;
    }
    let leases = tables.leases.rows().map(|(_, row)| row.expires_at);
    let watches = tables.watches.rows().map(|(_, row)| row.until);
    leases.chain(watches).min()
}

/// Removes leases that were not renewed, and the keys that end with them.
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

fn take_call(tables: &mut Tables, now: TimeMs, call: Call) {
    *tables.calls.get_or_insert(call.request.kind(), || 0) += 1;
    if tables.faults.down {
        send(call.reply, Verdict::Close);
        return;
    }
    if tables.faults.paused {
        tables.held.push(call);
        return;
    }
    run_call(tables, now, call);
}

/// Runs the calls that arrived during a pause, in order of arrival.
fn run_held_calls(tables: &mut Tables, now: TimeMs) {
    if tables.faults.paused {
        return;
    }
    for call in std::mem::take(&mut tables.held) {
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
        send(reply, Verdict::Close);
        return;
    }
    send(reply, Verdict::Answer(response, tables.faults.delay_ms));
}

/// Answers the watches whose value is newer or whose time is over, and drops
/// those whose caller has gone.
fn answer_watches(tables: &mut Tables, now: TimeMs) {
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
        send(row.reply, Verdict::Answer(response, tables.faults.delay_ms));
    }
}

/// Sends a verdict; a caller that has gone needs none.
pub(super) fn send(reply: oneshot::Sender<Verdict>, verdict: Verdict) {
    let _ = reply.send(verdict);
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
    expected: Option<ValueVersion>,
    value: Vec<u8>,
    lease: Option<LeaseId>,
) -> Response<Full<Bytes>> {
    let current = tables.values.get(&key).map(|row| row.version);
    if current != expected {
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
    let status = match expected {
        Some(_) => StatusCode::OK,
        None => StatusCode::CREATED,
    };
    versioned_response(status, version, Bytes::new())
}

fn delete(tables: &mut Tables, key: &PlatformKey, expected: ValueVersion) -> Response<Full<Bytes>> {
    let current = tables.values.get(key).map(|row| row.version);
    if current != Some(expected) {
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
    let mut listed = Vec::new();
    for (key, row) in tables.values.rows() {
        if key.as_str().starts_with(prefix) {
            listed.push(json!({"key": key.as_str(), "version": row.version.0}));
        }
    }
    json_response(&Value::Array(listed))
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
