//! The systems that run over the targets' tables.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;
use tokio::sync::watch;

use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use crate::history::RunEnd;
use crate::history::RunRecord;
use crate::response_body::generate_response_body;

use super::control;
use super::faults::ConnectionFaults;
use super::faults::Drain;
use super::faults::Faults;
use super::faults::is_in_failing_period;
use super::faults::sample_run_time;
use super::tables::ConnectionRow;
use super::tables::Event;
use super::tables::OpenedConnection;
use super::tables::OutgoingResponse;
use super::tables::RequestAction;
use super::tables::RunRow;
use super::tables::Tables;
use super::tables::TargetIndex;
use super::tables::TargetRow;
use super::tables::TrafficCommand;

/// The factor by which a target is slower during its warm-up.
const WARM_UP_SLOWDOWN: u64 = 4;

/// Handles an event.
pub(super) fn tick(tables: &mut Tables, now: TimeMs, event: Event, rng: &mut Pcg64Mcg) {
    match event {
        Event::Opened { target, reply } => open_connection(tables, now, target, reply),
        Event::ListenerClosed { target } => reset_connections(tables, target),
        Event::Ended { connection } => end_connection(tables, now, connection),
        Event::Arrived {
            connection,
            request,
            reply,
        } => {
            let action = handle_request(tables, now, connection, &request, rng);
            // The send fails if the connection has closed, which is reported
            // by an event of its own.
            let _ = reply.send(action);
        }
        Event::RunEnded { run, end, reply } => {
            let Some(answer) = end_run(tables, now, run, end) else {
                return;
            };
            let _ = reply.send(answer);
        }
        Event::Control(event) => control::handle_control_event(tables, now, event),
    }
}

/// Returns the faults of a new connection to a target.
pub(super) fn connection_faults(row: &TargetRow) -> ConnectionFaults {
    ConnectionFaults {
        silence: row.faults.silence_new,
        cut: row.faults.cut,
        cuts_left: row.cuts_left.clone(),
        reset: false,
    }
}

fn open_connection(
    tables: &mut Tables,
    now: TimeMs,
    target: TargetIndex,
    reply: oneshot::Sender<OpenedConnection>,
) {
    let row = &mut tables.targets[target];
    row.counts.connections += 1;
    tables.connection_count += 1;
    let connection = tables.connection_count;
    let mut faults = connection_faults(row);
    // A connection accepted after the crash, before the listener closed, is
    // reset.
    faults.reset = now < row.started_at;
    let (sender, fault_updates) = watch::channel(faults);
    let row = ConnectionRow {
        target,
        fault_updates: sender,
        run: None,
    };
    tables.connections.insert(connection, row);
    let _ = reply.send(OpenedConnection {
        connection,
        fault_updates,
    });
}

/// Removes a connection that has closed and cancels its run.
fn end_connection(tables: &mut Tables, now: TimeMs, connection: u64) {
    let row = tables.connections.remove(&connection);
    if let Some(run) = row.and_then(|row| row.run) {
        close_run(tables, now, run, RunEnd::Cancelled);
    }
}

fn handle_request(
    tables: &mut Tables,
    now: TimeMs,
    connection: u64,
    request: &Request<Bytes>,
    rng: &mut Pcg64Mcg,
) -> RequestAction {
    let Some(target) = tables.connections.get(&connection).map(|row| row.target) else {
        return RequestAction::Hang;
    };
    if now < tables.targets[target].started_at {
        return RequestAction::Hang;
    }
    let warm_up_ms = tables.warm_up_ms;
    let row = &mut tables.targets[target];
    let is_warming_up = now.since(row.started_at) < warm_up_ms;
    if request.uri().path() == "/health" {
        row.counts.probes += 1;
        let response = build_response(
            row,
            StatusCode::OK,
            Bytes::from_static(b"ok\n"),
            is_warming_up,
        );
        return RequestAction::Respond(immediate_response(response));
    }
    let is_full = row.faults.shed_when_full && row.in_flight >= row.slots.0;
    if is_full || row.faults.leaving == Drain::Shed {
        row.counts.shed += 1;
        return RequestAction::Respond(immediate_response(shed_response(
            row,
            request,
            is_warming_up,
        )));
    }
    let deadline = header_number(request.headers(), "agatehold-timeout-ms").map(DurationMs);
    let run_time_ms = sample_run_time(row.faults.delay, rng);
    let run_time_ms = if is_warming_up {
        run_time_ms.times(WARM_UP_SLOWDOWN)
    } else {
        run_time_ms
    };
    let is_failing = is_in_failing_period(&row.faults, row.faults_set_at, now)
        || rng.random::<f64>() < row.faults.fail_share;
    let crashes = has_crash_marker(&row.faults, request.body());
    let hangs = row.faults.hang;
    let while_leaving = row.faults.leaving != Drain::No;
    let run = start_run(tables, now, target, request, while_leaving);
    if let Some(row) = tables.connections.get_mut(&connection) {
        row.run = Some(run);
    }
    if crashes {
        crash(tables, now, target);
        return RequestAction::Hang;
    }
    if let Some(deadline) = deadline
        && (hangs || run_time_ms > deadline)
    {
        return RequestAction::Run {
            run,
            for_ms: deadline,
            end: RunEnd::Deadline,
        };
    }
    if hangs {
        return RequestAction::Hang;
    }
    RequestAction::Run {
        run,
        for_ms: run_time_ms,
        end: if is_failing {
            RunEnd::Failed
        } else {
            RunEnd::Finished
        },
    }
}

fn has_crash_marker(faults: &Faults, body: &[u8]) -> bool {
    let Some(marker) = &faults.crash_marker else {
        return false;
    };
    !marker.is_empty()
        && body
            .windows(marker.len())
            .any(|window| window == marker.as_bytes())
}

fn start_run(
    tables: &mut Tables,
    now: TimeMs,
    target: TargetIndex,
    request: &Request<Bytes>,
    while_leaving: bool,
) -> u64 {
    let row = &mut tables.targets[target];
    row.in_flight += 1;
    row.counts.started += 1;
    tables.run_count += 1;
    let path = request.uri().path_and_query();
    let record = RunRecord {
        target,
        request_id: header_text(request.headers(), "agatehold-request-id"),
        idempotency_key: header_text(request.headers(), "idempotency-key"),
        method: request.method().as_str().into(),
        path: path.map_or("/", |path| path.as_str()).into(),
        started_ms: now.0,
        ended_ms: None,
        end: None,
        while_leaving,
    };
    let body = request.body().clone();
    let row = RunRow { record, body };
    tables.runs.insert(tables.run_count, row);
    tables.run_count
}

/// Records the end of a run and frees its slot. Returns false if the run had
/// ended before.
fn close_run(tables: &mut Tables, now: TimeMs, run: u64, end: RunEnd) -> bool {
    let Some(row) = tables.runs.get_mut(&run) else {
        return false;
    };
    if row.record.end.is_some() {
        return false;
    }
    row.record.end = Some(end);
    row.record.ended_ms = Some(now.0);
    row.body = Bytes::new();
    let target = &mut tables.targets[row.record.target];
    target.in_flight = target.in_flight.saturating_sub(1);
    let counts = &mut target.counts;
    match end {
        RunEnd::Finished => counts.finished += 1,
        RunEnd::Failed => counts.failed += 1,
        RunEnd::Deadline => counts.deadline += 1,
        RunEnd::Cancelled => counts.cancelled += 1,
        RunEnd::Crashed => counts.crashed += 1,
    }
    true
}

/// Ends a run and builds its response; `None` if the run had ended before, for
/// instance because the connection closed.
fn end_run(tables: &mut Tables, now: TimeMs, run: u64, end: RunEnd) -> Option<OutgoingResponse> {
    let RunRow { record, body } = tables.runs.get(&run)?.clone();
    if !close_run(tables, now, run, end) {
        return None;
    }
    let is_warming_up = now.since(tables.targets[record.target].started_at) < tables.warm_up_ms;
    let target = &mut tables.targets[record.target];
    let (status, body) = match end {
        RunEnd::Finished => (
            StatusCode::OK,
            generate_response_body(&record.method, &record.path, &body).into(),
        ),
        RunEnd::Deadline => (StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
        RunEnd::Failed | RunEnd::Cancelled | RunEnd::Crashed => {
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    };
    let id = record.request_id.unwrap_or_default();
    let (sent_id, sent_body) = if target.faults.cross_next > 0 {
        target.faults.cross_next -= 1;
        target.last_response.clone()
    } else {
        (id.clone(), body.clone())
    };
    if end == RunEnd::Finished {
        target.last_response = (id, body);
    }
    let mut response = build_response(target, status, sent_body, is_warming_up);
    if target.faults.echo_id {
        insert_header(&mut response, "agatehold-request-id", &sent_id);
    }
    let is_sent_twice = target.faults.double_next > 0;
    target.faults.double_next = target.faults.double_next.saturating_sub(1);
    Some(OutgoingResponse {
        response,
        late_ms: DurationMs(target.faults.late_ms),
        is_sent_twice,
    })
}

/// Simulates a crash of a target's process: its runs end, its connections are
/// reset, and new connections are refused for `crash_down_ms`. Afterwards the
/// target warms up again.
///
/// Connections are reset after the listener has closed, so that a client that
/// reconnects after the reset is refused.
pub(super) fn crash(tables: &mut Tables, now: TimeMs, target: TargetIndex) {
    let target_connections = tables
        .connections
        .rows()
        .filter(|(_, row)| row.target == target);
    let runs: Vec<u64> = target_connections.filter_map(|(_, row)| row.run).collect();
    for run in runs {
        close_run(tables, now, run, RunEnd::Crashed);
    }
    let row = &mut tables.targets[target];
    row.counts.crashes += 1;
    let down_ms = DurationMs(row.faults.crash_down_ms);
    row.started_at = now + down_ms;
    if down_ms == DurationMs(0) {
        reset_connections(tables, target);
        return;
    }
    // The send fails only when the stand-in stops.
    let _ = tables
        .traffic
        .send(TrafficCommand::RefuseConnections { target, down_ms });
}

/// Resets every connection of a target.
pub(super) fn reset_connections(tables: &mut Tables, target: TargetIndex) {
    for (_, connection) in tables.connections.rows() {
        if connection.target == target {
            connection
                .fault_updates
                .send_modify(|faults| faults.reset = true);
        }
    }
}

/// Applies the cut of a target to its open connections and resets the number of
/// cuts left. The silence of the connections is unchanged.
pub(super) fn apply_cut(tables: &mut Tables, target: TargetIndex) {
    let row = &tables.targets[target];
    let count = row.faults.cut.map_or(0, |cut| cut.count);
    row.cuts_left.store(count, Ordering::Relaxed);
    for (_, connection) in tables.connections.rows() {
        if connection.target == target {
            let cut = row.faults.cut;
            connection
                .fault_updates
                .send_modify(|faults| faults.cut = cut);
        }
    }
}

fn immediate_response(response: Response<Bytes>) -> OutgoingResponse {
    OutgoingResponse {
        response,
        late_ms: DurationMs(0),
        is_sent_twice: false,
    }
}

fn build_response(
    row: &TargetRow,
    status: StatusCode,
    body: Bytes,
    is_warming_up: bool,
) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let load = row.faults.report_load.unwrap_or(row.in_flight);
    let text = format!("{load}/{}", row.slots);
    insert_header(&mut response, "agatehold-load", &text);
    let state = if row.faults.leaving != Drain::No {
        "leaving"
    } else if is_warming_up {
        "warming"
    } else {
        "serving"
    };
    insert_header(&mut response, "agatehold-state", state);
    response
}

fn shed_response(
    row: &TargetRow,
    request: &Request<Bytes>,
    is_warming_up: bool,
) -> Response<Bytes> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut response = build_response(row, status, Bytes::new(), is_warming_up);
    insert_header(&mut response, "agatehold-shed", "1");
    let id = header_text(request.headers(), "agatehold-request-id");
    if row.faults.echo_id {
        insert_header(
            &mut response,
            "agatehold-request-id",
            &id.unwrap_or_default(),
        );
    }
    response
}

fn insert_header(response: &mut Response<Bytes>, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        response.headers_mut().insert(name, value);
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<Box<str>> {
    Some(headers.get(name)?.to_str().ok()?.into())
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
