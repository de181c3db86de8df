//! Sends a request to one target and limits how long the attempt may take.

use http::HeaderValue;
use http::Method;
use http::header;
use tokio::sync::oneshot;
use tokio::time::Instant;

use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::attempt_timeout;
use agatehold_core::dispatch::pick_live_target;
use agatehold_core::ids::TargetName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::units::DurationMs;
use agatehold_platform::request_headers;
use agatehold_platform::target_headers;

use crate::clock::duration;
use crate::traffic::strip_hop_by_hop;

use crate::gateway::endpoint::Response;
use crate::gateway::http1::write_header;
use crate::gateway::http1::write_headers;
use crate::gateway::memory::MemoryKind;
use crate::gateway::queue;
use crate::gateway::routes;
use crate::gateway::target::AttemptEnd;
use crate::gateway::target::OutboundRequest;
use crate::gateway::target::run_attempt;

use super::Dispatch;

/// A request counts as overdue once it has run for this many times the route's
/// average run time.
const OVERDUE_FACTOR: u64 = 3;

/// The minimum run time before a request counts as overdue.
const OVERDUE_MIN_MS: DurationMs = DurationMs(300);

impl Dispatch<'_> {
    /// Sends the request to a target process once and records the result.
    pub(super) async fn attempt(
        &mut self,
        identity: &TargetIdentity,
        response_sender: &mut oneshot::Sender<Response>,
    ) -> AttemptEnd {
        let address = self.state.targets.borrow().address_of(identity);
        let Some(address) = address else {
            self.release(identity);
            return AttemptEnd::without_response(AttemptOutcome::NotWritten, "target removed");
        };
        let work = self.begin_work(identity);
        let sent_at = Instant::now();
        let end = self.exchange(identity, address, response_sender).await;
        let run_ms = DurationMs(sent_at.elapsed().as_millis() as u64);
        self.end_work(identity, work);
        if end.outcome == AttemptOutcome::Answered {
            self.record_cost(identity, run_ms);
        }
        self.record_statements(identity, address, &end);
        self.record_attempt(identity, address, &end, run_ms);
        end
    }

    async fn exchange(
        &self,
        identity: &TargetIdentity,
        address: std::net::SocketAddr,
        response_sender: &mut oneshot::Sender<Response>,
    ) -> AttemptEnd {
        let target = &identity.name;
        let now = self.now();
        let remaining_ms = self.deadline.since(now);
        let head = self.encode_head(target, remaining_ms);
        // An earlier attempt may have read a part of a response.
        let memory = &self.incoming.response_memory;
        memory.change(MemoryKind::Read, self.incoming.expected_response_bytes);
        let may_write = || self.takes_requests(identity);
        let outbound = OutboundRequest {
            head: &head,
            body: &self.incoming.body,
            request_id: self.request_id.as_ref().map(HeaderValue::as_bytes),
            idle_max: self.connection_idle_max(),
            idempotent: self.route.idempotent,
            is_head_request: self.incoming.head.method == Method::HEAD,
            deadline: self.state.shared.clock.instant(self.deadline),
            memory,
            may_write: &may_write,
        };
        let average_run_ms = routes::average_run(self.state, self.route);
        let overdue_after_ms = average_run_ms.times(OVERDUE_FACTOR).max(OVERDUE_MIN_MS);
        let attempt_timeout_ms =
            attempt_timeout(average_run_ms, self.route.objective_ms, remaining_ms);
        let running = run_attempt(&self.state.pool, address, &outbound);
        let mut running = std::pin::pin!(running);
        let overdue = tokio::time::sleep(duration(overdue_after_ms));
        let attempt_timer = tokio::time::sleep(duration(attempt_timeout_ms));
        let mut overdue = std::pin::pin!(overdue);
        let mut attempt_timer = std::pin::pin!(attempt_timer);
        let mut is_overdue = false;
        let mut is_timed_out = false;
        let end = loop {
            tokio::select! {
                biased;
                end = running.as_mut() => break end,
                () = response_sender.closed() => {
                    break AttemptEnd::without_response(AttemptOutcome::Cancelled, "caller gone");
                }
                () = overdue.as_mut(), if !is_overdue => {
                    is_overdue = true;
                    self.add_overdue(identity, 1);
                }
                () = attempt_timer.as_mut(), if !is_timed_out => {
                    is_timed_out = true;
                    if self.may_abandon_attempt() {
                        break AttemptEnd {
                            is_abandoned: true,
                            ..AttemptEnd::without_response(AttemptOutcome::TimedOut, "attempt timeout")
                        };
                    }
                }
            }
        };
        if is_overdue {
            self.add_overdue(identity, -1);
        }
        end
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

    /// Returns whether a target process still takes requests, by the newest view: the
    /// request may have waited since the target was chosen.
    fn takes_requests(&self, identity: &TargetIdentity) -> bool {
        self.state.view();
        let now = self.now();
        self.state.targets.borrow().takes_requests(identity, now)
    }

    fn add_overdue(&self, identity: &TargetIdentity, change: i32) {
        let mut targets = self.state.targets.borrow_mut();
        targets.add_overdue(identity, change);
    }

    /// Returns whether the running attempt may be abandoned: the request is
    /// idempotent, has an attempt left, another target has a free slot, and the
    /// retry budget allows a retry.
    pub(super) fn may_abandon_attempt(&self) -> bool {
        if !self.route.idempotent || self.attempts.sent + 1 >= self.route.attempts_max {
            return false;
        }
        let now = self.now();
        let body_bytes = self.body_bytes();
        let service = &self.service;
        let request =
            queue::pick_request(self.state, service, &self.tried, true, false, body_bytes);
        let targets = self.state.targets.borrow();
        let choice = pick_live_target(&targets, &request, now);
        matches!(choice, Choice::Target(_)) && self.with_budget(|budget| budget.has_resend(now))
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
