//! The systems that run over a caller's tables.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use serde_json::Value;

use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::refusal::RetryAdvice;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::addresses::AddressAnswer;

use crate::history::CallOutcome;
use crate::history::CallRecord;

use super::KeyMode;
use super::Load;
use super::RequestShape;
use super::tables::Command;
use super::tables::Event;
use super::tables::MIN_FETCH_DELAY;
use super::tables::RequestRow;
use super::tables::SendResult;
use super::tables::Tables;

/// The delay before a retry if the refusal has no `retry-after` header.
const DEFAULT_RETRY_DELAY: DurationMs = DurationMs(100);

/// The lowest rate of an open load. With a lower one the computation of the
/// interval between two requests would overflow.
const MIN_RATE_PER_S: f64 = 1e-6;

/// Handles an event, runs all systems once and returns the commands for the
/// traffic thread.
pub(super) fn tick(tables: &mut Tables, now: TimeMs, event: Option<Event>) -> Vec<Command> {
    let mut commands = Vec::new();
    match event {
        Some(Event::Ended {
            number,
            result,
            total_us,
        }) => end_attempt(tables, now, number, result, total_us),
        Some(Event::Addresses(answer)) => store_addresses(tables, now, answer),
        Some(Event::Stop) => tables.is_stopped = true,
        None => {}
    }
    start_requests(tables, now);
    end_unsent_requests(tables, now);
    fetch_addresses(tables, now, &mut commands);
    send_due(tables, now, &mut commands);
    commands
}

/// Returns whether all requests have ended and no more will start.
pub(super) fn is_done(tables: &Tables, now: TimeMs) -> bool {
    tables.requests.is_empty() && !may_start(tables, now)
}

/// Returns the time of the next tick if no event arrives before.
pub(super) fn next_deadline(tables: &Tables, now: TimeMs) -> Option<TimeMs> {
    let due = tables.requests.rows().filter_map(|(_, row)| row.due_at);
    let can_send = has_send_address(tables);
    let mut next = due.filter(|_| can_send).min();
    if may_start(tables, now) {
        let start = match tables.options.load {
            Load::Closed(_) => None,
            Load::Open(_) => Some(now + DurationMs(1)),
        };
        let end = tables.started_at + tables.options.duration_ms;
        next = next.into_iter().chain(start).chain([end]).min();
    }
    if tables.options.fetches_addresses && !tables.book.is_fetching {
        next = next.into_iter().chain([tables.book.fetch_at]).min();
    }
    next
}

fn has_send_address(tables: &Tables) -> bool {
    let needs_prefix = tables.options.shape.keys == KeyMode::Prefix;
    !tables.book.addresses.is_empty() && (!needs_prefix || tables.book.key_prefix.is_some())
}

fn may_start(tables: &Tables, now: TimeMs) -> bool {
    let options = &tables.options;
    !tables.is_stopped
        && tables.started < options.count
        && now.since(tables.started_at) < options.duration_ms
}

fn start_requests(tables: &mut Tables, now: TimeMs) {
    let started_goal = match tables.options.load {
        Load::Closed(workers) => {
            let unfinished_count = u64::try_from(tables.requests.len()).unwrap_or(u64::MAX);
            tables.started + u64::from(workers).saturating_sub(unfinished_count)
        }
        Load::Open(rate) => due_request_count(now.since(tables.started_at), rate.get()),
    };
    while may_start(tables, now) && tables.started < started_goal {
        tables.started += 1;
        let number = tables.started;
        let row = new_request(tables, now, number);
        tables.requests.insert(number, row);
    }
}

/// Returns how many requests an open load has to have started after `elapsed`.
/// The first one is due at once.
fn due_request_count(elapsed: DurationMs, rate_per_s: f64) -> u64 {
    let interval = Duration::from_secs(1).div_f64(rate_per_s.max(MIN_RATE_PER_S));
    let nanos_each = interval.as_nanos().max(1);
    let elapsed_nanos = u128::from(elapsed.0) * 1_000_000;
    u64::try_from(elapsed_nanos / nanos_each + 1).unwrap_or(u64::MAX)
}

fn new_request(tables: &Tables, now: TimeMs, number: u64) -> RequestRow {
    let options = &tables.options;
    let shape = &options.shape;
    let marker = format!("{}-{number}", options.name);
    let separator = if shape.query.is_empty() { "" } else { "&" };
    let path = format!("{}?n={marker}{separator}{}", shape.path, shape.query);
    let mut body = Vec::new();
    if shape.method != http::Method::GET {
        body.extend_from_slice(format!("{marker} {}", shape.body_text).as_bytes());
        let min_bytes = usize::try_from(shape.body_bytes.0).unwrap_or(usize::MAX);
        body.resize(body.len().max(min_bytes), b'.');
    }
    RequestRow {
        attempt: 1,
        due_at: Some(now),
        sent_at: now,
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        key: None,
        must_keep_key: false,
        path: path.into(),
        body: body.into(),
    }
}

/// Ends the waiting requests as not sent if there is still no address once the
/// time for new requests is over.
fn end_unsent_requests(tables: &mut Tables, now: TimeMs) {
    let end = tables.started_at + tables.options.duration_ms;
    if has_send_address(tables) || now < end {
        return;
    }
    let due = tables
        .requests
        .rows()
        .filter(|(_, row)| row.due_at.is_some());
    let numbers: Vec<u64> = due.map(|(number, _)| *number).collect();
    for number in numbers {
        end_attempt(tables, now, number, SendResult::NotSent, 0);
    }
}

/// Requests addresses from the next daemon in round-robin order if they are due
/// to be refreshed.
fn fetch_addresses(tables: &mut Tables, now: TimeMs, commands: &mut Vec<Command>) {
    let book = &mut tables.book;
    if !tables.options.fetches_addresses || book.is_fetching || now < book.fetch_at {
        return;
    }
    // Daemons of the last address response come first, then the configured ones.
    let known = book.addresses.iter().chain(&tables.options.daemons);
    let daemons: Vec<SocketAddr> = known.copied().collect();
    if daemons.is_empty() {
        return;
    }
    let daemon = daemons[book.fetch_count % daemons.len()];
    book.fetch_count += 1;
    book.is_fetching = true;
    commands.push(Command::FetchAddresses { daemon });
}

fn store_addresses(tables: &mut Tables, now: TimeMs, answer: Option<AddressAnswer>) {
    let book = &mut tables.book;
    book.is_fetching = false;
    let Some(answer) = answer.filter(|answer| !answer.addresses.is_empty()) else {
        book.fetch_at = now + MIN_FETCH_DELAY;
        return;
    };
    book.fetch_at = now + DurationMs(answer.ttl_ms).max(MIN_FETCH_DELAY);
    book.addresses = answer.addresses;
    book.key_prefix = answer.key_prefix;
}

fn send_due(tables: &mut Tables, now: TimeMs, commands: &mut Vec<Command>) {
    if !has_send_address(tables) {
        return;
    }
    let mut unsendable = Vec::new();
    let Tables {
        options,
        book,
        requests,
        ..
    } = tables;
    for (number, row) in requests.rows_mut() {
        if row.due_at.is_none_or(|due_at| due_at > now) {
            continue;
        }
        row.due_at = None;
        row.sent_at = now;
        row.address = book.addresses[book.attempt_count % book.addresses.len()];
        book.attempt_count += 1;
        if !row.must_keep_key {
            let name = &options.name;
            let attempt = row.attempt;
            row.key = match (options.shape.keys, &book.key_prefix) {
                (KeyMode::None, _) | (KeyMode::Prefix, None) => None,
                (KeyMode::Own, _) => Some(format!("{name}-{number}").into()),
                (KeyMode::Prefix, Some(prefix)) => {
                    let prefix = prefix.trim_end_matches('.');
                    Some(format!("{prefix}.{name}-{number}-{attempt}").into())
                }
            };
        }
        let tenant = options.tenant.as_str();
        let Ok(request) = build_request(&options.shape, tenant, row) else {
            unsendable.push(*number);
            continue;
        };
        commands.push(Command::Send {
            number: *number,
            address: row.address,
            request: Box::new(request),
        });
    }
    for number in unsendable {
        end_attempt(tables, now, number, SendResult::NotSent, 0);
    }
}

fn build_request(
    shape: &RequestShape,
    tenant: &str,
    row: &RequestRow,
) -> Result<Request<Bytes>, http::Error> {
    let mut builder = Request::builder()
        .method(shape.method.clone())
        .uri(&*row.path)
        .header("host", row.address.to_string())
        .header("agatehold-tenant", tenant);
    if let Some(timeout) = shape.timeout_ms {
        builder = builder.header("agatehold-timeout-ms", timeout.0);
    }
    if let Some(key) = &row.key {
        builder = builder.header("idempotency-key", &**key);
    }
    if shape.sends_non_idempotent_header {
        builder = builder.header("agatehold-idempotent", "no");
    }
    builder.body(row.body.clone())
}

fn end_attempt(tables: &mut Tables, now: TimeMs, number: u64, result: SendResult, total_us: u64) {
    let Some(mut row) = tables.requests.remove(&number) else {
        return;
    };
    let mut record = CallRecord {
        number,
        attempt: row.attempt,
        sent_at: row.sent_at,
        request_id: None,
        key: row.key.clone(),
        is_non_idempotent: tables.options.shape.is_non_idempotent,
        address: row.address,
        target: None,
        status: None,
        refusal: None,
        outcome: CallOutcome::Lost,
        total_us,
        added_us: None,
        method: tables.options.shape.method.as_str().into(),
        path: row.path.clone(),
        request_body: (&*row.body).into(),
        body: Box::default(),
    };
    let mut retry_after = None;
    match result {
        SendResult::ConnectFailed => record.outcome = CallOutcome::ConnectFailed,
        SendResult::NotSent => record.outcome = CallOutcome::NotSent,
        SendResult::Lost => record.outcome = CallOutcome::Lost,
        SendResult::TimedOut => record.outcome = CallOutcome::TimedOut,
        SendResult::Response(status, headers, body) => {
            record_response(&mut record, status, &headers, &body);
            retry_after = header_text(&headers, "retry-after").and_then(|text| text.parse().ok());
            if record.refusal.is_some() {
                store_refusal_addresses(tables, now, &body);
            }
            if is_key_owner_lost(record.refusal) {
                // Every request with a key prefix of a lost daemon is refused.
                tables.book.key_prefix = None;
                tables.book.fetch_at = now;
            }
        }
    }
    if let Some(delay) = retry_delay(&record, retry_after)
        && row.attempt < tables.options.attempts
    {
        row.attempt += 1;
        row.due_at = Some(now + delay);
        // If the attempt may have run, a retry must use the same key, so that
        // it can't run twice. Otherwise a new key is generated, since the
        // daemon that issued the prefix of the old one may be lost.
        row.must_keep_key |= !record.is_not_run();
        tables.requests.insert(number, row);
    }
    tables.records.push(record);
}

/// Returns the delay before the next attempt; `None` if the caller must not
/// retry.
///
/// The caller retries if a refusal advises it, and after a failed connection
/// attempt, as nothing was sent and another address may work.
fn retry_delay(record: &CallRecord, retry_after_s: Option<u64>) -> Option<DurationMs> {
    if record.outcome == CallOutcome::ConnectFailed {
        return Some(DurationMs(0));
    }
    let later_delay = retry_after_s.map_or(DEFAULT_RETRY_DELAY, |seconds| {
        DurationMs(1_000).times(seconds)
    });
    match record.refusal?.answer().retry {
        RetryAdvice::Never | RetryAdvice::AfterLookup => None,
        RetryAdvice::OtherAddress => Some(DurationMs(0)),
        RetryAdvice::Later => Some(later_delay),
    }
}

fn record_response(record: &mut CallRecord, status: StatusCode, headers: &HeaderMap, body: &Bytes) {
    record.status = Some(status.as_u16());
    record.body = (&**body).into();
    record.request_id = header_text(headers, "agatehold-request-id").map(Into::into);
    record.target = header_text(headers, "agatehold-target").map(Into::into);
    record.added_us = header_text(headers, "agatehold-added-us").and_then(|text| text.parse().ok());
    record.refusal = header_text(headers, "agatehold-refusal").and_then(|text| text.parse().ok());
    record.outcome = match header_text(headers, "agatehold-outcome") {
        Some("not-run") => CallOutcome::Refused(RefusalOutcome::NotRun),
        Some(_) => CallOutcome::Refused(RefusalOutcome::Unknown),
        None => CallOutcome::Answered,
    };
}

/// Returns whether a refusal says that the daemon that issued the key prefix is
/// lost or no longer accepts the key.
const fn is_key_owner_lost(refusal: Option<RefusalKind>) -> bool {
    matches!(
        refusal,
        Some(RefusalKind::OwnerGone | RefusalKind::OwnerUnreachable | RefusalKind::KeyExpired)
    )
}

/// Uses the addresses from the body of a refusal, and requests addresses again
/// to get a key prefix that belongs to them.
fn store_refusal_addresses(tables: &mut Tables, now: TimeMs, body: &[u8]) {
    if !tables.options.fetches_addresses {
        return;
    }
    let Ok(problem) = serde_json::from_slice::<Value>(body) else {
        return;
    };
    let listed = problem["addresses"].as_array();
    let addresses: Vec<SocketAddr> = listed
        .into_iter()
        .flatten()
        .filter_map(|value| value.as_str()?.parse().ok())
        .collect();
    if addresses.is_empty() || addresses == tables.book.addresses {
        return;
    }
    tables.book.addresses = addresses;
    tables.book.fetch_count = 0;
    tables.book.fetch_at = now;
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
