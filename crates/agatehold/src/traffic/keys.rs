//! Claims the idempotency key of a request.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;

use agatehold_core::idempotency::Arrival as KeyArrival;
use agatehold_core::idempotency::Claim;
use agatehold_core::idempotency::ClaimAnswer;
use agatehold_core::idempotency::ClaimId;
use agatehold_core::idempotency::ClaimRecord;
use agatehold_core::idempotency::ClaimStep;
use agatehold_core::idempotency::IdempotencyKey;
use agatehold_core::idempotency::KeyOwner;
use agatehold_core::idempotency::KeyState;
use agatehold_core::idempotency::StoredAnswer;
use agatehold_core::idempotency::next_claim_step;
use agatehold_core::idempotency::refusal_outcome;
use agatehold_core::ids::Digest;
use agatehold_core::ids::TenantName;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::units::TimeMs;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformKey;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::claim_key;
use agatehold_wire::platform::decode_claim;
use agatehold_wire::platform::decode_response;
use agatehold_wire::platform::encode_claim;
use agatehold_wire::platform::encode_request;

use super::ThreadState;
use super::pool::Connection;
use super::pool::TRAFFIC_LIVENESS;
use super::refusal::Refusal;

/// What follows from the claim of a key.
pub(crate) enum KeyGrant {
    /// This daemon runs the request.
    Run(ClaimId),
    /// An earlier arrival was answered.
    Replay(Arc<StoredAnswer>),
    /// Another daemon runs the request.
    Forward(KeyOwner),
}

/// The request whose key is claimed.
pub(crate) struct KeyedRequest<'a> {
    /// The key.
    pub(crate) key: &'a IdempotencyKey,
    /// The tenant.
    pub(crate) tenant: &'a TenantName,
    /// The hash of the request's content.
    pub(crate) request: Digest,
    /// How the request came.
    pub(crate) arrival: KeyArrival,
    /// When the request has to be answered.
    pub(crate) deadline: TimeMs,
}

/// Claims a key, in this daemon's table and, for a key that the caller made,
/// in the platform.
pub(crate) async fn claim_request_key(
    state: &Rc<ThreadState>,
    keyed: &KeyedRequest<'_>,
) -> Result<KeyGrant, Refusal> {
    let now = state.shared.clock.now();
    let claim =
        state
            .shared
            .keys()
            .claim(keyed.key, keyed.tenant, keyed.request, keyed.arrival, now);
    let key_state = claim.key_state();
    if let Some(kind) = claim.refusal() {
        return Err(Refusal::with_outcome(
            kind,
            refusal_outcome(kind, key_state),
        ));
    }
    match claim {
        Claim::Run(claim) => Ok(KeyGrant::Run(claim)),
        Claim::CreateClaimRecord(claim, record) => ask_platform(state, keyed, claim, record).await,
        Claim::Replay(answer) => Ok(KeyGrant::Replay(answer)),
        Claim::Forward(owner) => Ok(KeyGrant::Forward(owner)),
        _ => Err(Refusal::new(RefusalKind::Internal)),
    }
}

async fn ask_platform(
    state: &Rc<ThreadState>,
    keyed: &KeyedRequest<'_>,
    claim: ClaimId,
    record: ClaimRecord,
) -> Result<KeyGrant, Refusal> {
    let platform_key = claim_key(keyed.tenant, &keyed.key.to_string());
    let mut calls = 0;
    let mut create = true;
    loop {
        let answer = call(state, &platform_key, &record, create, keyed.deadline).await;
        calls += 1;
        let now = state.shared.clock.now();
        match next_claim_step(&answer, &record, calls, now, keyed.deadline) {
            ClaimStep::Run => {
                state.shared.keys().claim_created(&claim);
                return Ok(KeyGrant::Run(claim));
            }
            ClaimStep::Forward(owner) => {
                state.shared.keys().forget(claim);
                return Ok(KeyGrant::Forward(owner));
            }
            ClaimStep::ReadBack => create = false,
            ClaimStep::CreateAgain => create = true,
            ClaimStep::Refuse(kind) => {
                let mut keys = state.shared.keys();
                if kind == RefusalKind::ClaimUnavailable {
                    keys.release_not_run(claim);
                } else {
                    keys.forget(claim);
                }
                let outcome = refusal_outcome(kind, KeyState::MayHaveRun);
                return Err(Refusal::with_outcome(kind, outcome));
            }
        }
    }
}

/// Makes one platform call about a claim.
async fn call(
    state: &Rc<ThreadState>,
    key: &PlatformKey,
    record: &ClaimRecord,
    create: bool,
    deadline: TimeMs,
) -> ClaimAnswer {
    let lease = state.shared.claim_lease.load_full();
    let request = if create {
        let Ok(value) = encode_claim(record) else {
            return ClaimAnswer::Unavailable;
        };
        PlatformRequest::Create {
            key: key.clone(),
            value,
            lease: lease.as_deref().cloned(),
        }
    } else {
        PlatformRequest::Get { key: key.clone() }
    };
    metrics::counter!("agatehold_platform_calls_total", "kind" => request.kind()).increment(1);
    let clock = state.shared.clock;
    let platform = &state.shared.settings.platform;
    let until = clock.instant(deadline.min(clock.now() + platform.timeout_ms));
    let Ok(Ok(connection)) =
        tokio::time::timeout_at(until, Connection::open(platform.address, TRAFFIC_LIVENESS)).await
    else {
        return ClaimAnswer::Unavailable;
    };
    let (mut sender, closer) = connection.into_parts();
    let answer = tokio::time::timeout_at(until, exchange(state, &mut sender, &request));
    let answer = answer.await.unwrap_or(ClaimAnswer::Lost);
    closer.close();
    answer
}

async fn exchange(
    state: &Rc<ThreadState>,
    sender: &mut hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    request: &PlatformRequest,
) -> ClaimAnswer {
    let address = state.shared.settings.platform.address;
    let Ok(encoded) = encode_request(request, address) else {
        return ClaimAnswer::Unavailable;
    };
    let encoded = encoded.map(|body| Full::new(Bytes::from(body)));
    let response = match sender.try_send_request(encoded).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => ClaimAnswer::Unavailable,
                None => ClaimAnswer::Lost,
            };
        }
    };
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return ClaimAnswer::Lost;
    };
    match decode_response(request, head.status, &head.headers, &body.to_bytes()) {
        Ok(PlatformAnswer::Stored { .. }) => ClaimAnswer::Created,
        Ok(PlatformAnswer::Value { value, .. }) => match decode_claim(&value) {
            Ok(record) => ClaimAnswer::Exists(record),
            Err(_) => ClaimAnswer::Lost,
        },
        Ok(PlatformAnswer::Missing) => ClaimAnswer::Absent,
        Ok(PlatformAnswer::LeaseGone) => {
            // Nothing was written; the next create goes without the lease.
            state.shared.claim_lease.store(None);
            ClaimAnswer::Absent
        }
        // The value of the record that is in the way has to be read.
        Ok(_) | Err(_) => ClaimAnswer::Lost,
    }
}
