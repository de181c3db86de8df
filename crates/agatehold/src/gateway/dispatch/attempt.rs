//! Sends a request to a target, and tells when the attempt takes longer than usual.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;

use http::HeaderValue;
use http::Method;
use http::header;
use tokio::time::Instant;

use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::attempt_timeout;
use agatehold_core::dispatch::cost::WorkId;
use agatehold_core::ids::TargetName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::units::DurationMs;
use agatehold_platform::request_headers;
use agatehold_platform::target_headers;

use crate::clock::duration;
use crate::traffic::strip_hop_by_hop;

use crate::gateway::http1::write_header;
use crate::gateway::http1::write_headers;
use crate::gateway::memory::MemoryHold;
use crate::gateway::memory::MemoryKind;
use crate::gateway::queue;
use crate::gateway::routes;
use crate::gateway::target::AttemptEnd;
use crate::gateway::target::OutboundRequest;
use crate::gateway::target::run_attempt;
use crate::gateway::traffic::TrafficState;

use super::Dispatch;

/// A request counts as overdue once it has run for this many times the route's
/// average run time.
const OVERDUE_FACTOR: u64 = 3;

/// The minimum run time before a request counts as overdue.
const OVERDUE_MIN_MS: DurationMs = DurationMs(300);

/// An attempt that has begun and not ended. If it is dropped, its connection is closed.
pub(super) struct RunningAttempt<'a> {
    identity: TargetIdentity,
    /// The target's address; `None` if the target was removed before the request was sent.
    address: Option<SocketAddr>,
    work: Option<WorkId>,
    /// The run time that the queue has charged the tenant for the attempt.
    charged_ms: DurationMs,
    sent_at: Instant,
    /// When the request counts as overdue.
    overdue_at: Instant,
    is_overdue: bool,
    /// When the request may be sent to another target beside this one.
    timeout_at: Instant,
    is_past_timeout: bool,
    /// Whether the request was sent to another target because this one takes too long. It
    /// then counts against this one unless it answers, also if nobody waits any longer.
    pub(super) is_given_up: bool,
    exchange: Pin<Box<dyn Future<Output = AttemptEnd> + 'a>>,
}

/// What happens at a running attempt.
pub(super) enum AttemptEvent {
    /// It has ended.
    Ended(Box<AttemptEnd>),
    /// It takes much longer than usual.
    Overdue,
    /// It has reached the attempt timeout.
    TimedOut,
}

impl RunningAttempt<'_> {
    /// Returns the target at which the request runs.
    pub(super) const fn target(&self) -> &TargetName {
        &self.identity.name
    }

    /// Waits for the next event. No event is lost if the future is dropped.
    async fn next_event(&mut self) -> AttemptEvent {
        tokio::select! {
            biased;
            end = self.exchange.as_mut() => AttemptEvent::Ended(Box::new(end)),
            () = tokio::time::sleep_until(self.overdue_at), if !self.is_overdue => {
                self.is_overdue = true;
                AttemptEvent::Overdue
            }
            () = tokio::time::sleep_until(self.timeout_at), if !self.is_past_timeout => {
                self.is_past_timeout = true;
                AttemptEvent::TimedOut
            }
        }
    }
}

/// Waits for the next event at one of the attempts; returns the position of the attempt.
pub(super) async fn next_event(running: &mut [RunningAttempt<'_>]) -> (usize, AttemptEvent) {
    if let [only] = running {
        return (0, only.next_event().await);
    }
    let mut events: Vec<_> = running
        .iter_mut()
        .map(|attempt| Box::pin(attempt.next_event()))
        .collect();
    poll_fn(|context| {
        for (position, event) in events.iter_mut().enumerate() {
            if let Poll::Ready(event) = event.as_mut().poll(context) {
                return Poll::Ready((position, event));
            }
        }
        Poll::Pending
    })
    .await
}

/// A slot and memory for a second attempt beside one that runs.
pub(super) struct SlotBeside {
    pub(super) target: TargetIdentity,
    pub(super) memory: MemoryHold,
}

impl<'a> Dispatch<'a> {
    /// Begins to send the request to a target of which a slot was claimed.
    ///
    /// `memory` holds the response while it is read; `None` for the memory that is held
    /// since the request arrived, which only one attempt at a time may use.
    pub(super) fn begin_attempt(
        &mut self,
        identity: TargetIdentity,
        memory: Option<MemoryHold>,
    ) -> RunningAttempt<'a> {
        self.tried.push(identity.name.clone());
        let address = self.state.targets.borrow().address_of(&identity);
        let now = self.now();
        let remaining_ms = self.deadline.since(now);
        let average_run_ms = routes::average_run(self.state, self.route);
        let overdue_after_ms = average_run_ms.times(OVERDUE_FACTOR).max(OVERDUE_MIN_MS);
        let attempt_timeout_ms =
            attempt_timeout(average_run_ms, self.route.objective_ms, remaining_ms);
        let sent_at = Instant::now();
        let mut attempt = RunningAttempt {
            identity,
            address,
            work: None,
            charged_ms: DurationMs(0),
            sent_at,
            overdue_at: sent_at + duration(overdue_after_ms),
            is_overdue: false,
            timeout_at: sent_at + duration(attempt_timeout_ms),
            is_past_timeout: false,
            is_given_up: false,
            exchange: Box::pin(std::future::ready(AttemptEnd::without_response(
                AttemptOutcome::NotWritten,
                "target removed",
            ))),
        };
        if let Some(address) = address {
            attempt.charged_ms = std::mem::take(&mut self.charged_ms);
            attempt.work = self.begin_work(&attempt.identity);
            attempt.exchange = self.exchange(&attempt.identity, address, remaining_ms, memory);
        }
        attempt
    }

    /// Sends the request to a target and reads its response, as a future of its own, so
    /// that two attempts can run at the same time.
    fn exchange(
        &self,
        identity: &TargetIdentity,
        address: SocketAddr,
        remaining_ms: DurationMs,
        memory: Option<MemoryHold>,
    ) -> Pin<Box<dyn Future<Output = AttemptEnd> + 'a>> {
        let (state, incoming) = (self.state, self.incoming);
        let head = self.encode_head(&identity.name, remaining_ms);
        let identity = identity.clone();
        let request_id = self.request_id.clone();
        let idle_max = self.connection_idle_max();
        let idempotent = self.route.idempotent;
        let deadline = state.shared.clock.instant(self.deadline);
        Box::pin(async move {
            let memory = memory.as_ref().unwrap_or(&incoming.response_memory);
            // An earlier attempt may have read a part of a response.
            memory.change(MemoryKind::Read, incoming.expected_response_bytes);
            let may_write = || takes_requests(state, &identity);
            let outbound = OutboundRequest {
                head: &head,
                body: &incoming.body,
                request_id: request_id.as_ref().map(HeaderValue::as_bytes),
                idle_max,
                idempotent,
                is_head_request: incoming.head.method == Method::HEAD,
                deadline,
                memory,
                may_write: &may_write,
            };
            run_attempt(&state.pool, address, &outbound).await
        })
    }

    /// Records the end of an attempt and releases its slot. The connection is closed if
    /// the attempt did not end by itself.
    pub(super) fn end_attempt(&mut self, attempt: RunningAttempt<'a>, end: &AttemptEnd) {
        let RunningAttempt {
            identity,
            address,
            work,
            charged_ms,
            sent_at,
            is_overdue,
            exchange,
            ..
        } = attempt;
        drop(exchange);
        let Some(address) = address else {
            self.release(&identity);
            return;
        };
        let run_ms = DurationMs(sent_at.elapsed().as_millis() as u64);
        if is_overdue {
            self.add_overdue(&identity, -1);
        }
        self.end_work(&identity, work);
        if end.outcome == AttemptOutcome::Answered {
            self.record_cost(&identity, run_ms);
        }
        self.record_statements(&identity, address, end);
        self.record_attempt(&identity, address, end, charged_ms, run_ms);
    }

    /// Records that a running attempt takes much longer than usual.
    pub(super) fn record_overdue(&self, attempt: &RunningAttempt<'a>) {
        if attempt.address.is_some() {
            self.add_overdue(&attempt.identity, 1);
        }
    }

    /// Cancels the attempts that still run after the caller has left.
    pub(super) fn cancel_attempts(&mut self, running: Vec<RunningAttempt<'a>>) {
        for attempt in running {
            // Callers leave a little before the deadline that this daemon knows.
            let outcome = match attempt.is_given_up {
                true => AttemptOutcome::TimedOut,
                false => AttemptOutcome::Cancelled,
            };
            let end = AttemptEnd {
                is_abandoned: attempt.is_given_up,
                ..AttemptEnd::without_response(outcome, "caller gone")
            };
            self.record_end_state(&attempt, &end);
            self.end_attempt(attempt, &end);
        }
    }

    /// Cancels the attempts that still run after another target has answered. Those that
    /// have reached the attempt timeout count against their targets.
    pub(super) fn cancel_overtaken(&mut self, running: Vec<RunningAttempt<'a>>) {
        for attempt in running {
            let end = AttemptEnd {
                is_abandoned: attempt.is_past_timeout,
                ..AttemptEnd::without_response(
                    AttemptOutcome::TimedOut,
                    "another target has answered",
                )
            };
            self.end_attempt(attempt, &end);
        }
    }

    /// Keeps what the log and the marks of crashes need of the end of an attempt.
    pub(super) fn record_end_state(&mut self, attempt: &RunningAttempt<'a>, end: &AttemptEnd) {
        self.ended_at = Some(attempt.identity.name.clone());
        self.detail = end.detail;
        self.connection_use = end.connection_use;
        match end.outcome {
            AttemptOutcome::Answered => self.may_still_run = false,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => self.may_still_run = true,
            _ => {}
        }
    }

    /// Returns the longest rest of a connection that the request may use.
    ///
    /// A request that seems to have crashed a target gets a new connection: the loss of a
    /// rested one would be counted as another crash.
    fn connection_idle_max(&self) -> Option<std::time::Duration> {
        if self.crash_count() > 0 {
            return Some(std::time::Duration::ZERO);
        }
        let reuse = self.state.connection_reuse.get();
        let idle_max = reuse.idle_max(self.route.idempotent, self.now());
        idle_max.map(duration)
    }

    fn add_overdue(&self, identity: &TargetIdentity, change: i32) {
        let mut targets = self.state.targets.borrow_mut();
        targets.add_overdue(identity, change);
    }

    /// Claims a slot of another target for a second attempt beside one that runs, and
    /// takes it from the retry budget; `None` if no slot is free, or if there is no budget
    /// or memory left.
    pub(super) fn claim_beside(&self) -> Option<SlotBeside> {
        self.state.check_suspension();
        let now = self.now();
        if !self.with_budget(|budget| budget.has_resend(now)) {
            return None;
        }
        let memory = self.incoming.response_memory.hold_beside();
        if !memory.resize(self.incoming.expected_response_bytes) {
            return None;
        }
        let body_bytes = self.body_bytes();
        let choice = queue::claim(
            self.state,
            &self.service,
            &self.tried,
            true,
            false,
            body_bytes,
        );
        let Choice::Target(target) = choice else {
            return None;
        };
        if !self.with_budget(|budget| budget.take(now)) {
            self.release_unused(&target);
            return None;
        }
        Some(SlotBeside { target, memory })
    }

    /// Encodes the request's head as it is sent to the target: without hop-by-hop headers,
    /// and with the remaining time and the name of the expected target.
    fn encode_head(&self, target: &TargetName, remaining_ms: DurationMs) -> Vec<u8> {
        let incoming = self.incoming;
        let mut fields = incoming.head.headers.clone();
        strip_hop_by_hop(&mut fields);
        fields.remove(header::CONTENT_LENGTH);
        fields.remove(header::EXPECT);
        fields.remove(request_headers::DEADLINE_REMAINING_MS);
        fields.remove(target_headers::EXPECT_TARGET);
        self.credentials.apply_to(&mut fields);
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(incoming.head.method.as_str().as_bytes());
        out.push(b' ');
        out.extend_from_slice(incoming.head.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        write_headers(&mut out, &fields);
        write_header(
            &mut out,
            request_headers::DEADLINE_REMAINING_MS,
            remaining_ms.0.to_string().as_bytes(),
        );
        write_header(
            &mut out,
            target_headers::EXPECT_TARGET,
            target.as_str().as_bytes(),
        );
        let has_body = !incoming.body.is_empty()
            || !matches!(incoming.head.method, Method::GET | Method::HEAD);
        if has_body {
            let length = incoming.body.len().to_string();
            write_header(&mut out, "content-length", length.as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

/// Returns whether a target process still takes requests, by the newest view: the
/// request may have waited since the target was chosen.
fn takes_requests(state: &TrafficState, identity: &TargetIdentity) -> bool {
    state.view();
    let now = state.shared.clock.now();
    state.targets.borrow().takes_requests(identity, now)
}
