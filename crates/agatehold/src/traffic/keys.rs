//! Claims the idempotency key of a request, so that only one daemon runs it.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;

use agatehold_core::control::may_use_claim_lease;
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
use super::pool::TRAFFIC_TCP_TIMEOUTS;
use super::refusal::Refusal;

/// How a request is handled after its key was claimed.
pub(crate) enum ClaimDecision {
    /// This daemon runs the request.
    Run(ClaimId),
    /// An earlier request with the key was answered; its answer is returned.
    Replay(Arc<StoredAnswer>),
    /// Another daemon owns the key; the request is forwarded to it.
    Forward(KeyOwner),
}

/// The properties of a request that are needed to claim its key.
pub(crate) struct KeyedRequest<'a> {
    /// The idempotency key.
    pub(crate) key: &'a IdempotencyKey,
    /// The tenant.
    pub(crate) tenant: &'a TenantName,
    /// The hash of the request's content.
    pub(crate) request: Digest,
    /// Whether the request came from its caller or from another daemon.
    pub(crate) arrival: KeyArrival,
    /// The time by which the request must be answered.
    pub(crate) deadline: TimeMs,
}

/// Claims a key in this daemon's table and, if the caller generated the key
/// without a daemon's prefix, also in the platform.
pub(crate) async fn claim_request_key(
    state: &Rc<ThreadState>,
    keyed: &KeyedRequest<'_>,
) -> Result<ClaimDecision, Refusal> {
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
        Claim::Run(claim) => Ok(ClaimDecision::Run(claim)),
        Claim::CreateClaimRecord(claim, record) => {
            claim_in_platform(state, keyed, claim, record).await
        }
        Claim::Replay(answer) => Ok(ClaimDecision::Replay(answer)),
        Claim::Forward(owner) => Ok(ClaimDecision::Forward(owner)),
        _ => Err(Refusal::new(RefusalKind::Internal)),
    }
}

/// Creates the claim record in the platform, and reads it back if the answer
/// to the create was lost.
async fn claim_in_platform(
    state: &Rc<ThreadState>,
    keyed: &KeyedRequest<'_>,
    claim: ClaimId,
    record: ClaimRecord,
) -> Result<ClaimDecision, Refusal> {
    let platform_key = claim_key(keyed.tenant, &keyed.key.to_string());
    let mut call_count = 0;
    let mut create = true;
    loop {
        let answer = call_platform(state, &platform_key, &record, create, keyed.deadline).await;
        call_count += 1;
        let now = state.shared.clock.now();
        match next_claim_step(&answer, &record, call_count, now, keyed.deadline) {
            ClaimStep::Run => {
                state.shared.keys().claim_created(&claim);
                return Ok(ClaimDecision::Run(claim));
            }
            ClaimStep::Forward(owner) => {
                state.shared.keys().forget(claim);
                return Ok(ClaimDecision::Forward(owner));
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

/// Makes one platform call that creates or reads a claim record.
async fn call_platform(
    state: &Rc<ThreadState>,
    key: &PlatformKey,
    record: &ClaimRecord,
    create: bool,
    deadline: TimeMs,
) -> ClaimAnswer {
    let now = state.shared.clock.now();
    let lease = state.shared.claim_lease.load_full();
    let lease = lease.filter(|lease| may_use_claim_lease(lease.requested_at, now));
    let request = if create {
        let Ok(value) = encode_claim(record) else {
            return ClaimAnswer::Unavailable;
        };
        PlatformRequest::Create {
            key: key.clone(),
            value,
            lease: lease.map(|lease| lease.id.clone()),
        }
    } else {
        PlatformRequest::Get { key: key.clone() }
    };
    metrics::counter!("agatehold_platform_calls_total", "kind" => request.kind()).increment(1);
    let clock = state.shared.clock;
    let platform = &state.shared.settings.platform;
    let call_deadline = clock.instant(deadline.min(clock.now() + platform.timeout_ms));
    let Ok(Ok(connection)) = tokio::time::timeout_at(
        call_deadline,
        Connection::open(platform.address, TRAFFIC_TCP_TIMEOUTS),
    )
    .await
    else {
        return ClaimAnswer::Unavailable;
    };
    let (mut sender, closer) = connection.into_parts();
    let answer = tokio::time::timeout_at(
        call_deadline,
        send_platform_request(state, &mut sender, &request),
    );
    let answer = answer.await.unwrap_or(ClaimAnswer::Lost);
    closer.close();
    answer
}

async fn send_platform_request(
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
            // Nothing was written. The next create is made without the lease.
            state.shared.claim_lease.store(None);
            ClaimAnswer::Absent
        }
        // As after a lost answer, the claim record is read back: if it exists,
        // it names the owner of the key.
        Ok(_) | Err(_) => ClaimAnswer::Lost,
    }
}
