//! Serves one caller's request, from reading it to returning its response.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use rand::RngExt;
use tokio::sync::oneshot;

use agatehold_core::idempotency::Arrival as KeyArrival;
use agatehold_core::idempotency::IdempotencyKey;
use agatehold_core::idempotency::KeyOwner;
use agatehold_core::idempotency::KeyState;
use agatehold_core::idempotency::StoredAnswer;
use agatehold_core::idempotency::refusal_outcome;
use agatehold_core::ids::Digest;
use agatehold_core::ids::RequestId;
use agatehold_core::limits::spread_retry_after;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::retry::NextStep;
use agatehold_core::retry::next_forward_step;
use agatehold_wire::headers;

use crate::clock::duration;
use crate::shared::Phase;
use crate::telemetry;

use super::ThreadState;
use super::addresses;
use super::answer::AnswerBody;
use super::answer::refusal_response;
use super::answer::set_header;
use super::answer::strip_hop_by_hop;
use super::answer::whole_response;
use super::attempt::Outbound;
use super::attempt::ReceivedAnswer;
use super::attempt::run_attempt;
use super::dispatch;
use super::dispatch::DispatchEnd;
use super::dispatch::DispatchResult;
use super::keys::ClaimDecision;
use super::keys::KeyedRequest;
use super::keys::claim_request_key;
use super::plan::Plan;
use super::plan::plan_request;
use super::refusal::Refusal;
use super::request_reader::Arrival;
use super::request_reader::BodyLimits;
use super::request_reader::parse_forwarded_request_id;
use super::request_reader::read_request;

/// The maximum number of idle connections that a thread keeps to another
/// daemon.
const DAEMON_CONNECTIONS_MAX: usize = 16;

/// The caller that waits for the response.
pub(crate) struct Caller {
    reply: oneshot::Sender<Response<AnswerBody>>,
}

impl Caller {
    /// Waits until the caller has disconnected.
    pub(crate) async fn gone(&mut self) {
        self.reply.closed().await;
    }
}

/// The result of serving a request that was not refused.
pub(crate) enum Served {
    /// A response to return to the caller.
    Response(Response<AnswerBody>),
    /// The caller disconnected.
    CallerGone,
}

/// Answers a caller's request.
///
/// The request is handled in its own task, which runs to completion even if
/// the caller's connection is dropped in the meantime.
pub(super) async fn answer(
    state: Rc<ThreadState>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let request_id = parse_forwarded_request_id(request.headers())
        .unwrap_or_else(|| RequestId(state.rng.borrow_mut().random()));
    let (reply, reply_receiver) = oneshot::channel();
    state.shared.in_flight.fetch_add(1, Ordering::AcqRel);
    tokio::task::spawn_local(handle_request(
        Rc::clone(&state),
        request,
        request_id,
        reply,
    ));
    if let Ok(mut response) = reply_receiver.await {
        if state.shared.phase() == Phase::Leaving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        return Ok(response);
    }
    let refusal = Refusal::new(RefusalKind::Internal);
    Ok(respond_with_refusal(&state, &refusal, request_id))
}

async fn handle_request(
    state: Rc<ThreadState>,
    request: Request<Incoming>,
    request_id: RequestId,
    reply: oneshot::Sender<Response<AnswerBody>>,
) {
    let mut caller = Caller { reply };
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let limits = &state.shared.settings.limits;
    let body_limits = BodyLimits {
        body_bytes: usize::try_from(limits.body_bytes.0).unwrap_or(usize::MAX),
        body_timeout: duration(limits.body_timeout_ms),
    };
    let (served, unread) = match read_request(request, request_id, body_limits).await {
        Ok(arrival) => (serve(&state, &arrival, &mut caller).await, false),
        Err(kind) => (Err(Refusal::new(kind)), true),
    };
    let served = served.unwrap_or_else(|refusal| {
        count_refusal(&refusal);
        Served::Response(respond_with_refusal(&state, &refusal, request_id))
    });
    if let Served::Response(mut response) = served {
        // The framing guard does not know where a chunked or unread body ends,
        // so the connection can't carry another request.
        if chunked || unread {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        // Sending fails only if the caller has disconnected.
        let _ = caller.reply.send(response);
    }
    state.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
}

fn count_refusal(refusal: &Refusal) {
    metrics::counter!("agatehold_refusals_total",
        "kind" => refusal.kind.answer().name, "outcome" => refusal.outcome.to_string())
    .increment(1);
}

fn respond_with_refusal(
    state: &ThreadState,
    refusal: &Refusal,
    request_id: RequestId,
) -> Response<AnswerBody> {
    let addresses = refusal
        .service
        .as_ref()
        .map(|service| addresses::choose_addresses(state, service))
        .unwrap_or_default();
    let retry_after_ms = spread_retry_after(refusal.retry, &mut *state.rng.borrow_mut());
    refusal_response(refusal, request_id, &addresses, retry_after_ms)
}

async fn serve(
    state: &Rc<ThreadState>,
    arrival: &Arrival,
    caller: &mut Caller,
) -> Result<Served, Refusal> {
    let started = Instant::now();
    if arrival.path() == headers::ADDRESSES_PATH {
        return addresses::answer(state, arrival).map(Served::Response);
    }
    let plan = plan_request(state, arrival)
        .map_err(|refusal| set_outcome_before_claim(state, arrival, refusal))?;
    let result = serve_planned(state, arrival, &plan, caller, started).await;
    let result_name = match &result {
        Ok(Served::Response(_)) => "answered",
        Ok(Served::CallerGone) => "caller-gone",
        Err(refusal) => refusal.kind.answer().name,
    };
    if result_name != "answered" {
        let total = started.elapsed();
        let service = &plan.service_entry().name;
        telemetry::record_request(service, plan.class, &plan.tenant, result_name, total, total);
    }
    result.map_err(|mut refusal| {
        refusal.service = Some(plan.service_entry().name.clone());
        refusal
    })
}

/// Sets the outcome of a refusal that is made before the key is claimed.
///
/// Without this, a process that has just started would answer `not-run` for a
/// key that ran in its predecessor, and the caller would send the request
/// again under a new key.
fn set_outcome_before_claim(state: &ThreadState, arrival: &Arrival, refusal: Refusal) -> Refusal {
    let (Some(key), Some(tenant)) = (&arrival.key, &arrival.tenant) else {
        return refusal;
    };
    // A malformed key has never been claimed.
    let Ok(key) = key.parse() else {
        return refusal;
    };
    let key_state = state.shared.keys().state_of(&key, tenant);
    Refusal {
        outcome: refusal_outcome(refusal.kind, key_state),
        ..refusal
    }
}

async fn serve_planned(
    state: &Rc<ThreadState>,
    arrival: &Arrival,
    plan: &Plan,
    caller: &mut Caller,
    started: Instant,
) -> Result<Served, Refusal> {
    if plan.idempotent {
        return run_request(state, arrival, plan, KeyState::NoKey, caller, started)
            .await
            .into_served();
    }
    let Some(key) = &arrival.key else {
        if plan.requires_key() {
            return Err(Refusal::new(RefusalKind::KeyRequired));
        }
        return run_request(state, arrival, plan, KeyState::NoKey, caller, started)
            .await
            .into_served();
    };
    let key: IdempotencyKey = key
        .parse()
        .map_err(|_| Refusal::new(RefusalKind::KeyMalformed))?;
    let keyed = KeyedRequest {
        key: &key,
        tenant: &plan.tenant,
        request: hash_request(arrival),
        arrival: match arrival.forwarded_by {
            Some(_) => KeyArrival::Forwarded,
            None => KeyArrival::Direct,
        },
        deadline: plan.deadline,
    };
    match claim_request_key(state, &keyed).await? {
        ClaimDecision::Replay(stored) => {
            Ok(Served::Response(build_replay(&stored, arrival.request_id)))
        }
        ClaimDecision::Forward(owner) => forward_to_owner(state, arrival, plan, &owner).await,
        ClaimDecision::Run(claim) => {
            let run_result =
                run_request(state, arrival, plan, KeyState::NeverRun, caller, started).await;
            let mut keys = state.shared.keys();
            match &run_result {
                RunResult::Answered(_, Some(stored)) => {
                    keys.finish_with_answer(claim, Arc::clone(stored));
                }
                RunResult::Refused(refusal) if refusal.outcome == RefusalOutcome::NotRun => {
                    keys.release_not_run(claim);
                }
                _ => keys.finish_without_answer(claim),
            }
            drop(keys);
            run_result.into_served()
        }
    }
}

/// Hashes the parts that have to match for two requests with the same key to
/// count as the same request.
fn hash_request(arrival: &Arrival) -> Digest {
    Digest::of_parts(&[
        arrival.method.as_str().as_bytes(),
        arrival.path_and_query.as_bytes(),
        &arrival.body,
    ])
}

/// The result of running a request at targets.
enum RunResult {
    /// The response, and the copy to store for the request's key. There is no
    /// copy if the request has no key or the answer exceeds the buffer size.
    Answered(Response<AnswerBody>, Option<Arc<StoredAnswer>>),
    /// The request was refused.
    Refused(Refusal),
    /// The caller disconnected.
    CallerGone,
}

impl RunResult {
    fn into_served(self) -> Result<Served, Refusal> {
        match self {
            Self::Answered(response, _) => Ok(Served::Response(response)),
            Self::Refused(refusal) => Err(refusal),
            Self::CallerGone => Ok(Served::CallerGone),
        }
    }
}

async fn run_request(
    state: &Rc<ThreadState>,
    arrival: &Arrival,
    plan: &Plan,
    key: KeyState,
    caller: &mut Caller,
    started: Instant,
) -> RunResult {
    let DispatchResult { end, target_time } =
        dispatch::run(state, arrival, plan, key, caller).await;
    let (received, target) = match end {
        DispatchEnd::Answered(received, target) => (received, target),
        DispatchEnd::Refused(refusal) => return RunResult::Refused(refusal),
        DispatchEnd::CallerGone => return RunResult::CallerGone,
    };
    let total = started.elapsed();
    let added = total.saturating_sub(target_time);
    let service = &plan.service_entry().name;
    telemetry::record_request(service, plan.class, &plan.tenant, "answered", total, added);
    let stored = (key != KeyState::NoKey && received.rest.is_none())
        .then(|| Arc::new(build_stored_answer(&received)));
    let mut response = build_relayed_response(received, arrival.method == http::Method::HEAD);
    let fields = response.headers_mut();
    set_header(fields, headers::TARGET, target.as_str());
    set_header(fields, headers::ADDED_US, &added.as_micros().to_string());
    set_header(fields, headers::REQUEST_ID, &arrival.request_id.to_string());
    RunResult::Answered(response, stored)
}

fn build_stored_answer(received: &ReceivedAnswer) -> StoredAnswer {
    let mut fields = received.headers.clone();
    strip_hop_by_hop(&mut fields);
    fields.remove(header::CONTENT_LENGTH);
    StoredAnswer {
        http_status: received.status.as_u16(),
        headers: fields
            .iter()
            .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
            .collect(),
        body: received.body.to_vec().into(),
    }
}

fn build_replay(stored: &StoredAnswer, request_id: RequestId) -> Response<AnswerBody> {
    let status =
        StatusCode::from_u16(stored.http_status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut fields = HeaderMap::new();
    for (name, value) in &stored.headers {
        let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(name.as_bytes()),
            HeaderValue::from_bytes(value),
        ) else {
            continue;
        };
        fields.append(name, value);
    }
    set_header(&mut fields, headers::REQUEST_ID, &request_id.to_string());
    set_header(&mut fields, headers::REPLAYED, "yes");
    whole_response(status, fields, stored.body.to_vec().into())
}

/// Builds the response that passes on an answer of a target or another daemon.
fn build_relayed_response(received: ReceivedAnswer, is_head: bool) -> Response<AnswerBody> {
    let mut fields = received.headers;
    strip_hop_by_hop(&mut fields);
    // A relayed body keeps its `Content-Length`, so that the caller notices if
    // the body is truncated.
    if received.rest.is_none() && !is_head {
        fields.remove(header::CONTENT_LENGTH);
    }
    let Some((rest, connection)) = received.rest else {
        return whole_response(received.status, fields, received.body);
    };
    let body = dispatch::relay_rest(received.body, rest, connection);
    let mut response = Response::new(body);
    *response.status_mut() = received.status;
    *response.headers_mut() = fields;
    response
}

/// Forwards a request to the daemon that owns its idempotency key.
async fn forward_to_owner(
    state: &Rc<ThreadState>,
    arrival: &Arrival,
    plan: &Plan,
    owner: &KeyOwner,
) -> Result<Served, Refusal> {
    let entries = state.shared.fleet_addresses.load();
    let address = match entries.by_host.get(&owner.host) {
        Some((incarnation, address)) if owner.may_run(*incarnation) => *address,
        _ => return Err(Refusal::new(RefusalKind::OwnerGone)),
    };
    metrics::counter!("agatehold_forwarded_total").increment(1);
    let mut fields = arrival.headers.clone();
    set_header(
        &mut fields,
        headers::FORWARDED_BY,
        state.shared.host.as_str(),
    );
    set_header(&mut fields, headers::IDEMPOTENT, "no");
    let outbound = Outbound {
        method: &arrival.method,
        path: &arrival.path_and_query,
        host: Some(&arrival.host),
        headers: &fields,
        body: &arrival.body,
        request_id: arrival.request_id,
        deadline: plan.deadline,
        idempotent: false,
        idle_connections_max: DAEMON_CONNECTIONS_MAX,
        answer_bytes: plan.answer_bytes,
    };
    let attempt = run_attempt(&state.pool, state.shared.clock, address, &outbound).await;
    match (next_forward_step(attempt.outcome), attempt.received) {
        (NextStep::Answer, Some(received)) => {
            Ok(Served::Response(build_relayed_response(received, false)))
        }
        (NextStep::Refuse { kind, outcome }, _) => Err(Refusal::with_outcome(kind, outcome)),
        _ => Err(Refusal::new(RefusalKind::OwnerUnreachable)),
    }
}
