//! Handles one caller request: checks that it can be served, finds its route and
//! passes it to the dispatcher.

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::header;
use tokio::sync::oneshot;

use agatehold_core::catalog::ConfigVersion;
use agatehold_core::catalog::match_catalog_route;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::tenants::TenantRow;
use agatehold_core::units::DurationMs;
use agatehold_platform::request_headers;

use crate::telemetry::FieldText;

use super::allotments;
use super::dispatch;
use super::dispatch::Credentials;
use super::dispatch::Plan;
use super::endpoint::IncomingRequest;
use super::endpoint::Response;
use super::http1::RequestHead;
use super::memory::MemoryKind;
use super::responses;
use super::routes;
use super::shared::InFlightGuard;
use super::traffic::TrafficState;

/// Handles a request until it is answered or its caller disconnects. `in_flight` counts it
/// until its response is written.
pub(super) async fn handle(
    state: &TrafficState,
    incoming: IncomingRequest,
    mut response_sender: oneshot::Sender<Response>,
    in_flight: InFlightGuard,
) {
    let response = serve(state, &incoming, &mut response_sender).await;
    if let Some(mut response) = response {
        let memory = incoming.response_memory;
        memory.change(MemoryKind::Unwritten, response.body.len());
        response.memory = Some(memory);
        response.in_flight = Some(in_flight);
        response.is_head_response = incoming.head.method == Method::HEAD;
        // Sending fails only if the caller has disconnected.
        let _ = response_sender.send(response);
    }
}

/// Returns the request's host name, in lower case and with the port if there is one, and
/// its path without the query.
pub(super) fn host_and_path(head: &RequestHead) -> (Box<str>, &str) {
    let target = &*head.target;
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let host = head.headers.get(header::HOST);
    // Host names that aren't DNS names may have any characters.
    let host = host.and_then(|value| std::str::from_utf8(value.as_bytes()).ok());
    (host.unwrap_or("").to_ascii_lowercase().into(), path)
}

/// Returns how long after the arrival of a request its answer is of use: the time that the
/// caller states or the route's timeout, whichever is shorter; `None` if no route matches.
pub(super) fn time_limit(state: &TrafficState, head: &RequestHead) -> Option<DurationMs> {
    let view = state.view();
    let catalog = view.catalog.as_ref()?;
    let (host, path) = host_and_path(head);
    let route = &catalog.routes[match_catalog_route(catalog, &host, path)?];
    match parse_remaining(&head.headers) {
        Ok(Some(remaining_ms)) => Some(remaining_ms.min(route.timeout_ms)),
        // A request with an invalid value is refused once it has been read.
        Ok(None) | Err(_) => Some(route.timeout_ms),
    }
}

/// Returns the size that is expected of the response to a request; 0 if it is not known,
/// or if expected responses are not counted.
pub(super) fn expected_response(state: &TrafficState, head: &RequestHead) -> usize {
    if !state.memory.limits().reserves_responses() || head.method == Method::HEAD {
        return 0;
    }
    let view = state.view();
    let Some(catalog) = &view.catalog else {
        return 0;
    };
    let (host, path) = host_and_path(head);
    let Some(position) = match_catalog_route(catalog, &host, path) else {
        return 0;
    };
    routes::expected_response(state, &catalog.routes[position])
}

async fn serve(
    state: &TrafficState,
    incoming: &IncomingRequest,
    response_sender: &mut oneshot::Sender<Response>,
) -> Option<Response> {
    let request_id = request_id(&incoming.head);
    let refuse = |kind: RefusalKind, version: ConfigVersion| {
        log_early_refusal(state, kind, incoming, version, None);
        let id = request_id.as_ref();
        Some(responses::refusal(state, kind, kind.outcome(), None, id))
    };
    let view = state.view();
    let Some(catalog) = &view.catalog else {
        return refuse(RefusalKind::Starting, ConfigVersion::default());
    };
    let (host, path) = host_and_path(&incoming.head);
    let Some(position) = match_catalog_route(catalog, &host, path) else {
        let kind = view.refusal_of_unknown(RefusalKind::UnknownRoute);
        return refuse(kind, catalog.version);
    };
    let route = &catalog.routes[position];
    let request_timeout_ms = match parse_remaining(&incoming.head.headers) {
        Ok(Some(remaining_ms)) => remaining_ms.min(route.timeout_ms),
        Ok(None) => route.timeout_ms,
        Err(kind) => return refuse(kind, catalog.version),
    };
    let elapsed_ms = DurationMs(incoming.arrived_at.elapsed().as_millis() as u64);
    let remaining_ms = request_timeout_ms.saturating_sub(elapsed_ms);
    if remaining_ms.0 == 0 {
        return refuse(RefusalKind::DeadlinePassed, catalog.version);
    }
    if state.shutdown.refuses_new(remaining_ms) {
        return refuse(RefusalKind::Stopping, catalog.version);
    }
    if route.services.is_empty() {
        return refuse(RefusalKind::EntryUnusable, catalog.version);
    }
    let (credentials, tenant) =
        match Credentials::of_request(catalog, route, &incoming.head.headers) {
            Ok(credentials) => credentials,
            Err(kind) => return refuse(view.refusal_of_unknown(kind), catalog.version),
        };
    let expected_bytes = incoming.expected_response_bytes;
    if expected_bytes > 0 && !incoming.response_memory.resize(expected_bytes) {
        metrics::counter!("agatehold_memory_refusals_total", "kind" => "expected").increment(1);
        return refuse(RefusalKind::MemoryFull, catalog.version);
    }
    let deadline = state.shared.clock.now() + remaining_ms;
    let token = match tenant {
        Some(tenant) => match allotments::admit(state, tenant).await {
            Ok(token) => token,
            Err(retry_after_ms) => {
                let kind = RefusalKind::RateLimited;
                log_early_refusal(state, kind, incoming, catalog.version, Some(tenant));
                let id = request_id.as_ref();
                let delay_ms = Some(retry_after_ms);
                return Some(responses::refusal(
                    state,
                    kind,
                    kind.outcome(),
                    delay_ms,
                    id,
                ));
            }
        },
        None => None,
    };
    let service = routes::next_service(state, route);
    let plan = Plan {
        credentials,
        token,
        priority: tenant
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route.priority),
        route,
        version: catalog.version,
        service,
        deadline,
    };
    dispatch::run(state, incoming, plan, response_sender).await
}

/// Parses the header with the time left until the request's deadline; `None` if
/// it is absent. Fails with `DeadlinePassed` if less than 1 ms is left, and with
/// `BadRequest` if the value is not a number. A number that is too large for its type
/// counts as unlimited.
fn parse_remaining(headers: &HeaderMap) -> Result<Option<DurationMs>, RefusalKind> {
    let Some(value) = headers.get(request_headers::DEADLINE_REMAINING_MS) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| RefusalKind::BadRequest)?.trim();
    // Words such as `nan` and `inf` parse too.
    if !text.bytes().any(|byte| byte.is_ascii_digit()) {
        return Err(RefusalKind::BadRequest);
    }
    let remaining_ms: f64 = text.parse().map_err(|_| RefusalKind::BadRequest)?;
    if remaining_ms < 1.0 {
        return Err(RefusalKind::DeadlinePassed);
    }
    Ok(Some(DurationMs(remaining_ms as u64)))
}

/// Counts and logs a refusal that happened before a target was chosen.
fn log_early_refusal(
    state: &TrafficState,
    kind: RefusalKind,
    incoming: &IncomingRequest,
    version: ConfigVersion,
    tenant: Option<&TenantRow>,
) {
    metrics::counter!("agatehold_refusals_total", "kind" => kind.answer().name).increment(1);
    let view = state.view();
    let store_unavailable_ms = match view.store_unavailable_since {
        Some(since) => state.shared.clock.now().since(since),
        None => DurationMs(0),
    };
    log::warn!(
        "event=refused id={} path={} kind={kind} outcome=not-run tenant={} limit={} config={version} view={} store_away={store_unavailable_ms}",
        request_id_text(incoming.head.headers.get(request_headers::REQUEST_ID)),
        FieldText(&incoming.head.target),
        tenant.map_or("-", |tenant| tenant.name.as_str()),
        tenant
            .and_then(|tenant| tenant.allotment)
            .map_or("-".to_owned(), |allotment| format!(
                "{}+{}",
                allotment.rate_per_s, allotment.burst
            )),
        view.number
    );
}

/// Returns the id of a request; `None` if it has none.
pub(super) fn request_id(head: &RequestHead) -> Option<HeaderValue> {
    head.headers.get(request_headers::REQUEST_ID).cloned()
}

/// Returns a request id as the value of a log field; `-` if there is none or it is not
/// text.
pub(super) fn request_id_text(id: Option<&HeaderValue>) -> FieldText<'_> {
    FieldText(id.and_then(|id| id.to_str().ok()).unwrap_or("-"))
}
