//! Responses that the daemon generates itself: addresses, readiness, metrics,
//! contents of the store, and refusals.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::header;

use agatehold_core::directory::EntryDemand;
use agatehold_core::directory::entry_addresses;
use agatehold_core::directory::entry_daemons;
use agatehold_core::limits::spread_retry_after_fraction;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::refusal::RetryAdvice;
use agatehold_core::units::DurationMs;
use agatehold_platform::READINESS_PATH;
use agatehold_platform::RESOLVE_PATH;
use agatehold_platform::encode_addresses;
use agatehold_platform::encode_refusal;
use agatehold_platform::parse_address_query;
use agatehold_platform::request_headers;

use super::endpoint::Endpoint;
use super::endpoint::IncomingRequest;
use super::endpoint::Response;
use super::evidence;
use super::messages::CONTENTS_PATH;
use super::messages::PeerStatements;
use super::messages::encode_contents;
use super::messages::parse_known;
use super::traffic::TrafficState;

/// How long callers may cache the addresses that they looked up. For most
/// callers, the time between two requests is several times as long, so a longer
/// TTL would save few lookups and leave more callers with the addresses of
/// stopped daemons.
const ADDRESS_TTL_MS: DurationMs = DurationMs(2_000);

/// The number of addresses in the caller's failure domain that is sufficient. With
/// fewer, the addresses in other failure domains are added, so that the caller has
/// another address to try.
const SUFFICIENT_NEAR_ADDRESSES: usize = 2;

/// The path where metrics are scraped.
const METRICS_PATH: &str = "/metrics";

/// Answers a request that is served by the daemon itself and not forwarded to a
/// target.
pub(super) fn respond(
    state: &TrafficState,
    incoming: &IncomingRequest,
    endpoint: Endpoint,
) -> Response {
    let (path, query) = match incoming.head.target.split_once('?') {
        Some((path, query)) => (path, query),
        None => (&*incoming.head.target, ""),
    };
    let is_get = incoming.head.method == Method::GET;
    match endpoint {
        Endpoint::Readiness if is_get && path == READINESS_PATH => readiness(state),
        Endpoint::Directory if is_get && path == RESOLVE_PATH => resolve(state, query),
        Endpoint::Daemons if is_get && path == CONTENTS_PATH => {
            let known = parse_known(query);
            let view = state.view();
            let statements = if known.has_started {
                evidence::peer_statements(state)
            } else {
                PeerStatements::default()
            };
            let body = encode_contents(&view, &statements, &known);
            build_response(200, "application/json", body.into())
        }
        Endpoint::Metrics if is_get && path == METRICS_PATH => {
            build_response(200, "text/plain; version=0.0.4", state.metrics().into())
        }
        _ => build_response(404, "text/plain", Bytes::new()),
    }
}

fn build_response(status: u16, content_type: &'static str, body: Bytes) -> Response {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    Response {
        status,
        headers,
        body,
        is_head_response: false,
        in_flight: None,
        memory: None,
    }
}

fn readiness(state: &TrafficState) -> Response {
    let view = state.view();
    let is_ready = view.is_ready() && state.shared.stopping_since().is_none();
    build_response(if is_ready { 200 } else { 503 }, "text/plain", Bytes::new())
}

/// Answers a caller's lookup of the daemon addresses for a host name.
fn resolve(state: &TrafficState, query: &str) -> Response {
    let lookup = parse_address_query(query);
    let addresses = choose_addresses(state, &lookup.host, lookup.failure_domain.as_ref());
    let ttl_ms = ADDRESS_TTL_MS.min(state.shared.bounds.address_ttl_max_ms);
    metrics::counter!("agatehold_address_answers_total").increment(1);
    build_response(
        200,
        "application/json",
        encode_addresses(&addresses, ttl_ms).into(),
    )
}

fn choose_addresses(
    state: &TrafficState,
    host: &str,
    failure_domain: Option<&agatehold_core::ids::FailureDomain>,
) -> Vec<SocketAddr> {
    let view = state.view();
    let chosen = match view.entries_by_host.get(host) {
        Some(entries) => {
            let entries: Vec<_> = entries
                .iter()
                .map(|(host, member)| (host, member))
                .collect();
            entry_addresses(&entries, failure_domain, SUFFICIENT_NEAR_ADDRESSES)
        }
        None => {
            let demand = EntryDemand {
                least: state.shared.settings.entries.least as usize,
                capacity_millicores: 0,
            };
            let entries = entry_daemons(view.members.rows(), host, demand);
            entry_addresses(&entries, failure_domain, SUFFICIENT_NEAR_ADDRESSES)
        }
    };
    if chosen.is_empty() && state.shared.stopping_since().is_none() {
        // No daemon is known, for example because the store has been
        // unreachable since the start.
        return vec![state.shared.settings.listen.callers];
    }
    chosen
}

/// Builds the response for a refused request. A `retry-after` delay is included if
/// retrying can help and the request has not run.
pub(super) fn refusal(
    state: &TrafficState,
    kind: RefusalKind,
    outcome: RefusalOutcome,
    backlog_ms: Option<DurationMs>,
    request_id: Option<&HeaderValue>,
) -> Response {
    let backlog_ms = backlog_ms.unwrap_or(DurationMs(0));
    let delay_ms = match kind {
        // Each refused request has a time of its own already.
        RefusalKind::RateLimited => backlog_ms,
        _ => spread_retry_after_fraction(backlog_ms, &mut *state.rng.borrow_mut()),
    };
    refusal_with_delay(kind, outcome, delay_ms, request_id)
}

/// Builds the response for a refused request whose caller is told to return after exactly
/// `delay_ms`.
pub(super) fn refusal_with_delay(
    kind: RefusalKind,
    outcome: RefusalOutcome,
    delay_ms: DurationMs,
    request_id: Option<&HeaderValue>,
) -> Response {
    let id_text = request_id.and_then(|id| id.to_str().ok());
    let body = encode_refusal(kind, id_text).into();
    let mut response = build_response(kind.status_by_outcome(outcome), "application/json", body);
    if let Some(id) = request_id {
        let name = HeaderName::from_static(request_headers::REQUEST_ID);
        response.headers.insert(name, id.clone());
    }
    let advice = kind.answer().retry;
    let retry_helps = matches!(advice, RetryAdvice::Later | RetryAdvice::OtherAddress);
    if retry_helps && outcome == RefusalOutcome::NotRun {
        let seconds = format!("{}.{:03}", delay_ms.0 / 1_000, delay_ms.0 % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            let name = HeaderName::from_static(request_headers::RETRY_AFTER);
            response.headers.insert(name, value);
        }
    }
    response
}
