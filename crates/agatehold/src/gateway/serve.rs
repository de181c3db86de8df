//! Serves one request of a caller from its arrival to its answer.

use std::sync::atomic::Ordering;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::header;
use rand::RngExt;
use tokio::sync::oneshot;
use tokio::time::Instant;

use agatehold_core::catalog::CatalogRoute;
use agatehold_core::catalog::ConfigVersion;
use agatehold_core::catalog::match_catalog_route;
use agatehold_core::dispatch::AttemptFacts;
use agatehold_core::dispatch::Choice;
use agatehold_core::dispatch::Decision;
use agatehold_core::dispatch::ResendBudget;
use agatehold_core::dispatch::ServiceRecord;
use agatehold_core::dispatch::after_attempt;
use agatehold_core::dispatch::attempt_timeout;
use agatehold_core::dispatch::pick_live_target;
use agatehold_core::ids::Digest;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::poison;
use agatehold_core::poison::CrashMark;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::retry::Attempts;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_platform::request_headers;
use agatehold_platform::target_headers;

use crate::clock::duration;
use crate::traffic::strip_hop_by_hop;

use super::answers;
use super::endpoint::Answer;
use super::endpoint::Arrival;
use super::evidence;
use super::http1::RequestHead;
use super::http1::write_header;
use super::http1::write_headers;
use super::news::Evidence;
use super::queue;
use super::queue::Ask;
use super::queue::Entry;
use super::routes;
use super::target::AttemptEnd;
use super::target::Outbound;
use super::target::TargetAnswer;
use super::target::run_attempt;
use super::traffic::TrafficState;

/// The share of the objective for which a request waits for a slot.
const WAIT_SHARE_PERCENT: u64 = 60;

/// The age of a request, in usual run times, at which its target counts as
/// overdue with it.
const OVERDUE_RUNS: u64 = 3;

/// The least such age.
const OVERDUE_MIN_MS: DurationMs = DurationMs(300);

/// How many targets one request may crash, by all that this daemon knows.
const CRASHES_MAX: usize = 2;

/// A request on its way.
struct Dispatch<'a> {
    state: &'a TrafficState,
    arrival: &'a Arrival,
    route: &'a CatalogRoute,
    version: ConfigVersion,
    service: ServiceName,
    /// When the final answer is due.
    deadline: TimeMs,
    request_id: Option<HeaderValue>,
    attempts: Attempts,
    tried: Vec<TargetName>,
    /// Why the last attempt had no answer.
    detail: &'static str,
    /// Whether the budget of second sends was spent.
    is_over_budget: bool,
    /// The time in which the queue drains, where it refused the request.
    backlog_ms: Option<DurationMs>,
}

/// How the dispatch of a request ended.
enum Ended {
    /// With the answer of a target.
    Answered(TargetAnswer),
    /// With a refusal.
    Refused(RefusalKind),
    /// The caller went away.
    CallerGone,
}

/// Handles a request until it is answered or its caller is gone.
pub(super) async fn handle(
    state: &TrafficState,
    arrival: Arrival,
    mut reply: oneshot::Sender<Answer>,
) {
    state.shared.in_flight.fetch_add(1, Ordering::AcqRel);
    let answer = serve(state, &arrival, &mut reply).await;
    state.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    if let Some(mut answer) = answer {
        answer.closes |= !arrival.head.keeps_alive || state.shared.stopping_since().is_some();
        answer.is_head_answer = arrival.head.method == Method::HEAD;
        // A caller that went away needs no answer.
        let _ = reply.send(answer);
    }
}

/// Returns the host name in lower case without its port, and the path without
/// its query.
pub(super) fn host_and_path(head: &RequestHead) -> (String, &str) {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    let name = host.split_once(':').map_or(host, |(name, _)| name);
    let target = &*head.target;
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    (name.to_ascii_lowercase(), path)
}

async fn serve(
    state: &TrafficState,
    arrival: &Arrival,
    reply: &mut oneshot::Sender<Answer>,
) -> Option<Answer> {
    let request_id = arrival
        .head
        .headers
        .get(request_headers::REQUEST_ID)
        .cloned();
    let refuse = |kind: RefusalKind, version: ConfigVersion| {
        log_early_refusal(state, kind, arrival, version);
        let id = request_id.as_ref();
        Some(answers::refusal(state, kind, kind.outcome(), None, id))
    };
    let view = state.view();
    let Some(catalog) = &view.catalog else {
        return refuse(RefusalKind::Starting, ConfigVersion::default());
    };
    if state.refuses_new() {
        return refuse(RefusalKind::Stopping, catalog.version);
    }
    let (host, path) = host_and_path(&arrival.head);
    let Some(position) = match_catalog_route(catalog, &host, path) else {
        // A newer configuration may have the route.
        let kind = match view.store_away_since {
            Some(_) => RefusalKind::Isolated,
            None => RefusalKind::UnknownRoute,
        };
        return refuse(kind, catalog.version);
    };
    let route = &catalog.routes[position];
    let waits_ms = match remaining(&arrival.head.headers) {
        Ok(Some(remaining_ms)) => remaining_ms.min(route.timeout_ms),
        Ok(None) => route.timeout_ms,
        Err(kind) => return refuse(kind, catalog.version),
    };
    let elapsed_ms = DurationMs(arrival.arrived_at.elapsed().as_millis() as u64);
    let deadline = state.shared.clock.now() + waits_ms.less(elapsed_ms);
    let service = routes::next_service(state, route);
    let mut dispatch = Dispatch {
        state,
        arrival,
        route,
        version: catalog.version,
        service,
        deadline,
        request_id: request_id.clone(),
        attempts: Attempts::default(),
        tried: Vec::new(),
        detail: "",
        is_over_budget: false,
        backlog_ms: None,
    };
    let ended = dispatch.run(reply).await;
    dispatch.finish(ended)
}

/// A deadline that has passed is refused; anything that is not a number is
/// malformed.
fn remaining(headers: &HeaderMap) -> Result<Option<DurationMs>, RefusalKind> {
    let Some(value) = headers.get(request_headers::REMAINING_MS) else {
        return Ok(None);
    };
    let remaining_ms: f64 = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok())
        .ok_or(RefusalKind::BadRequest)?;
    if remaining_ms < 1.0 {
        return Err(RefusalKind::DeadlinePassed);
    }
    Ok(Some(DurationMs(remaining_ms as u64)))
}

/// Logs a refusal that no target was chosen for.
fn log_early_refusal(
    state: &TrafficState,
    kind: RefusalKind,
    arrival: &Arrival,
    version: ConfigVersion,
) {
    metrics::counter!("agatehold_refusals_total", "kind" => kind.answer().name).increment(1);
    let view = state.view();
    let away_ms = match view.store_away_since {
        Some(since) => state.shared.clock.now().since(since),
        None => DurationMs(0),
    };
    log::warn!(
        "event=refused id={} path={} kind={kind} outcome=not-run config={version} view={} store_away={away_ms}",
        text_of(arrival.head.headers.get(request_headers::REQUEST_ID)),
        arrival.head.target,
        view.number
    );
}

fn text_of(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

impl Dispatch<'_> {
    fn now(&self) -> TimeMs {
        self.state.shared.clock.now()
    }

    fn elapsed_ms(&self) -> u128 {
        self.arrival.arrived_at.elapsed().as_millis()
    }

    async fn run(&mut self, reply: &mut oneshot::Sender<Answer>) -> Ended {
        let now = self.now();
        self.with_budget(|budget| budget.record_request(now));
        let idempotent = self.route.idempotent;
        self.with_record(|record| record.record_arrival(idempotent, now));
        if !self.is_admitted_by_poison() {
            return Ended::Refused(RefusalKind::Poisoned);
        }
        let mut target = match self.enter(reply).await {
            Ok(target) => target,
            Err(ended) => return ended,
        };
        loop {
            self.tried.push(target.clone());
            let end = self.attempt(&target, reply).await;
            self.detail = end.detail;
            let facts = self.facts();
            let now = self.now();
            let mut attempts = self.attempts;
            let mut is_over_budget = false;
            let decision = after_attempt(end.outcome, &facts, &mut attempts, || {
                let taken = self.with_budget(|budget| budget.take(now));
                is_over_budget = !taken;
                taken
            });
            self.attempts = attempts;
            self.is_over_budget |= is_over_budget;
            match decision {
                Decision::Answer => {
                    return match end.answer {
                        Some(answer) => Ended::Answered(answer),
                        None => Ended::Refused(RefusalKind::Internal),
                    };
                }
                Decision::CallerGone => return Ended::CallerGone,
                Decision::Refuse(kind) => return Ended::Refused(kind),
                Decision::SendAgain => {}
            }
            log::info!(
                "event=send_again id={} service={} target={target} outcome={} detail=\"{}\" sent={}",
                text_of(self.request_id.as_ref()),
                self.service,
                end.outcome,
                end.detail,
                self.attempts.sent
            );
            metrics::counter!("agatehold_retries_total",
                "service" => self.service.to_string())
            .increment(1);
            let idempotent = self.route.idempotent;
            match queue::claim(self.state, &self.service, &self.tried, idempotent, true) {
                Choice::Target(name) => target = name,
                Choice::AllBusy | Choice::NoTarget => {
                    let kind = self.attempts.failure.unwrap_or(RefusalKind::TargetShed);
                    return Ended::Refused(kind);
                }
            }
        }
    }

    fn facts(&self) -> AttemptFacts {
        AttemptFacts {
            idempotent: self.route.idempotent,
            attempts_max: self.route.attempts_max,
            tries: u32::try_from(self.tried.len()).unwrap_or(u32::MAX),
            is_poisoned: self.crashes() >= CRASHES_MAX,
            remaining_ms: self.deadline.since(self.now()),
        }
    }

    fn with_budget<T>(&self, decide: impl FnOnce(&mut ResendBudget) -> T) -> T {
        let mut budgets = self.state.budgets.borrow_mut();
        let budget = budgets
            .entry(self.service.clone())
            .or_insert_with(|| ResendBudget::new(self.state.resend_policy()));
        decide(budget)
    }

    fn with_record(&self, change: impl FnOnce(&mut ServiceRecord)) {
        let mut records = self.state.records.borrow_mut();
        change(records.entry(self.service.clone()).or_default());
    }

    /// Gets a target with a claimed slot, or waits for one.
    async fn enter(&mut self, reply: &mut oneshot::Sender<Answer>) -> Result<TargetName, Ended> {
        let objective_ms = self.route.objective_ms;
        let entry = queue::enter(
            self.state,
            &Ask {
                service: &self.service,
                priority: self.route.priority,
                idempotent: self.route.idempotent,
                deadline: self.deadline,
                wait_ms: DurationMs(objective_ms.0 * WAIT_SHARE_PERCENT / 100),
            },
        );
        let (waiter, mut verdict) = match entry {
            Entry::Target(name) => return Ok(name),
            Entry::Refused(turned) => {
                self.backlog_ms = Some(turned.backlog_ms);
                return Err(Ended::Refused(turned.kind));
            }
            Entry::Waits(waiter, verdict) => (waiter, verdict),
        };
        let told = tokio::select! {
            told = &mut verdict => told,
            () = reply.closed() => {
                queue::cancel(self.state, &self.service, waiter);
                // A slot that was handed over meanwhile has to be given back.
                verdict.close();
                if let Ok(Ok(name)) = verdict.try_recv() {
                    self.release(&name);
                }
                return Err(Ended::CallerGone);
            }
        };
        match told {
            Ok(Ok(name)) => Ok(name),
            Ok(Err(turned)) => {
                self.backlog_ms = Some(turned.backlog_ms);
                Err(Ended::Refused(turned.kind))
            }
            Err(_) => Err(Ended::Refused(RefusalKind::QueueTimeout)),
        }
    }

    fn release(&self, target: &TargetName) {
        self.state.targets.borrow_mut().release(target);
        queue::pump(self.state, &self.service);
    }

    /// Sends the request to a target once.
    async fn attempt(
        &mut self,
        target: &TargetName,
        reply: &mut oneshot::Sender<Answer>,
    ) -> AttemptEnd {
        let address = {
            let targets = self.state.targets.borrow();
            targets.rows.get(target).map(|row| row.record.address)
        };
        let Some(address) = address else {
            return AttemptEnd::without_answer(AttemptOutcome::NotWritten, "target removed");
        };
        let sent_at = Instant::now();
        let end = self.exchange(target, address, reply).await;
        let run_ms = DurationMs(sent_at.elapsed().as_millis() as u64);
        self.settle(target, address, &end, run_ms);
        end
    }

    async fn exchange(
        &self,
        target: &TargetName,
        address: std::net::SocketAddr,
        reply: &mut oneshot::Sender<Answer>,
    ) -> AttemptEnd {
        let now = self.now();
        let remaining_ms = self.deadline.since(now);
        let bytes = self.encode(target, remaining_ms);
        let outbound = Outbound {
            bytes: &bytes,
            request_id: self.request_id.as_ref().map(HeaderValue::as_bytes),
            idempotent: self.route.idempotent,
            is_head_request: self.arrival.head.method == Method::HEAD,
            deadline: self.state.shared.clock.instant(self.deadline),
        };
        let usual_ms = routes::usual_run(self.state, self.route);
        let overdue_ms = usual_ms.times(OVERDUE_RUNS).max(OVERDUE_MIN_MS);
        let patience_ms = attempt_timeout(usual_ms, self.route.objective_ms, remaining_ms);
        let running = run_attempt(&self.state.pool, address, &outbound);
        let mut running = std::pin::pin!(running);
        let overdue = tokio::time::sleep(duration(overdue_ms));
        let patience = tokio::time::sleep(duration(patience_ms));
        let mut overdue = std::pin::pin!(overdue);
        let mut patience = std::pin::pin!(patience);
        let mut is_overdue = false;
        let mut is_impatient = false;
        let end = loop {
            tokio::select! {
                biased;
                end = running.as_mut() => break end,
                () = reply.closed() => {
                    break AttemptEnd::without_answer(AttemptOutcome::Cancelled, "caller gone");
                }
                () = overdue.as_mut(), if !is_overdue => {
                    is_overdue = true;
                    self.add_overdue(target, 1);
                }
                () = patience.as_mut(), if !is_impatient => {
                    is_impatient = true;
                    if self.may_give_up_on_attempt() {
                        break AttemptEnd::without_answer(AttemptOutcome::TimedOut, "attempt timeout");
                    }
                }
            }
        };
        if is_overdue {
            self.add_overdue(target, -1);
        }
        end
    }

    fn add_overdue(&self, target: &TargetName, change: i32) {
        let mut targets = self.state.targets.borrow_mut();
        if let Some(row) = targets.rows.get_mut(target) {
            row.overdue = row.overdue.saturating_add_signed(change);
        }
    }

    /// Returns whether the request can be sent to another target with a free
    /// slot instead of waiting for the one that has it.
    fn may_give_up_on_attempt(&self) -> bool {
        if !self.route.idempotent || self.attempts.sent + 1 >= self.route.attempts_max {
            return false;
        }
        let now = self.now();
        let request = queue::pick_request(self.state, &self.service, &self.tried, true, false);
        let targets = self.state.targets.borrow();
        let choice = pick_live_target(&targets, &request, now);
        matches!(choice, Choice::Target(_)) && self.with_budget(|budget| budget.has_resend(now))
    }

    /// Encodes the request as the target gets it.
    fn encode(&self, target: &TargetName, remaining_ms: DurationMs) -> Vec<u8> {
        let arrival = self.arrival;
        let mut fields = arrival.head.headers.clone();
        strip_hop_by_hop(&mut fields);
        fields.remove(header::CONTENT_LENGTH);
        fields.remove(header::EXPECT);
        fields.remove(request_headers::REMAINING_MS);
        fields.remove(target_headers::EXPECT_TARGET);
        let mut out = Vec::with_capacity(arrival.body.len() + 512);
        out.extend_from_slice(arrival.head.method.as_str().as_bytes());
        out.push(b' ');
        out.extend_from_slice(arrival.head.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        write_headers(&mut out, &fields);
        write_header(
            &mut out,
            request_headers::REMAINING_MS,
            remaining_ms.0.to_string().as_bytes(),
        );
        write_header(
            &mut out,
            target_headers::EXPECT_TARGET,
            target.as_str().as_bytes(),
        );
        let has_body =
            !arrival.body.is_empty() || !matches!(arrival.head.method, Method::GET | Method::HEAD);
        if has_body {
            let length = arrival.body.len().to_string();
            write_header(&mut out, "content-length", length.as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&arrival.body);
        out
    }

    /// Gives the slot back and adds what the attempt showed of the target.
    fn settle(
        &mut self,
        target: &TargetName,
        address: std::net::SocketAddr,
        end: &AttemptEnd,
        run_ms: DurationMs,
    ) {
        let now = self.now();
        let spread = self.state.rng.borrow_mut().random();
        let is_entry = evidence::is_entry(self.state, &self.service);
        let mut told = None;
        if let Some(row) = self.state.targets.borrow_mut().rows.get_mut(target) {
            let was_suspected = row.suspicion.nats() > 0.0;
            if let Some(load) = end.load {
                row.report_load(load, now);
            }
            if end.is_wrong_target {
                row.leaving = true;
                log::warn!("event=address_moved target={target} address={address}");
            }
            let outcome = match (end.outcome, end.detail) {
                // The request's own deadline says nothing of the target.
                (AttemptOutcome::TimedOut, detail)
                    if detail != "attempt timeout" && run_ms < self.route.objective_ms =>
                {
                    AttemptOutcome::Cancelled
                }
                (outcome, _) => outcome,
            };
            if row.suspicion.record(outcome, run_ms, spread, now) {
                log::warn!(
                    "event=target_avoided target={target} service={} outcome={} nats={:.1} detail=\"{}\"",
                    self.service,
                    end.outcome,
                    row.suspicion.nats(),
                    end.detail
                );
                metrics::counter!("agatehold_avoided_total",
                    "service" => self.service.to_string())
                .increment(1);
            }
            // A path that does not lead to the target and a run that takes
            // long are what this daemon sees; others may see it otherwise.
            let is_shared = !matches!(
                outcome,
                AttemptOutcome::ConnectFailed | AttemptOutcome::TimedOut
            );
            // The entry daemons see most requests of a service and tell each
            // other what is new; what the others see is new to them.
            let is_news = is_shared && (was_suspected || row.suspicion.nats() > 0.0 || !is_entry);
            if is_news || end.is_wrong_target {
                let crashed = end.outcome == AttemptOutcome::ConnectionLost;
                told = Some(Evidence {
                    target: row.record.identity.clone(),
                    outcome,
                    run_ms,
                    moved: end.is_wrong_target,
                    crash: crashed.then(|| self.fingerprint()),
                    reporter: self.state.shared.settings.host.id.clone(),
                });
            }
        }
        if let Some(evidence) = told {
            evidence::share(self.state, &self.service, &evidence);
        }
        match end.outcome {
            AttemptOutcome::Answered => {
                routes::record_run(self.state, self.route, run_ms);
                queue::record_run(self.state, &self.service, run_ms);
                self.clear_marks();
            }
            AttemptOutcome::ConnectionLost => {
                self.state.pool.borrow_mut().close_address(address);
                self.mark_crash(target, now);
            }
            AttemptOutcome::ConnectFailed => {
                self.state.pool.borrow_mut().close_address(address);
            }
            _ => {}
        }
        metrics::counter!("agatehold_attempts_total",
            "service" => self.service.to_string(), "outcome" => end.outcome.as_str())
        .increment(1);
        self.release(target);
    }

    fn fingerprint(&self) -> Digest {
        Digest::of_parts(&[
            self.arrival.head.method.as_str().as_bytes(),
            self.arrival.head.target.as_bytes(),
            &self.arrival.body,
        ])
    }

    /// Returns whether the crashes that the request was part of let it be
    /// sent.
    fn is_admitted_by_poison(&self) -> bool {
        let mut table = self.state.poison.borrow_mut();
        if table.rows.is_empty() {
            return true;
        }
        let own = &self.state.shared.settings.host.id;
        let admission = poison::admit(&mut table, &self.fingerprint(), own, self.now());
        match admission {
            poison::Admission::Admitted | poison::Admission::AdmittedOnTrial => true,
            poison::Admission::Deferred | poison::Admission::Refused => false,
        }
    }

    /// Returns the number of targets that the request crashed.
    fn crashes(&self) -> usize {
        let table = self.state.poison.borrow();
        if table.rows.is_empty() {
            return 0;
        }
        let row = table.rows.get(&self.fingerprint());
        row.map_or(0, |row| {
            row.marks.iter().filter(|mark| !mark.cleared).count()
        })
    }

    fn mark_crash(&self, target: &TargetName, now: TimeMs) {
        let mark = CrashMark {
            fingerprint: self.fingerprint(),
            target: target.clone(),
            reporter: self.state.shared.settings.host.id.clone(),
            at: now,
            cleared: false,
        };
        poison::mark_crash(&mut self.state.poison.borrow_mut(), mark, now);
    }

    fn clear_marks(&self) {
        let mut table = self.state.poison.borrow_mut();
        if table.rows.is_empty() {
            return;
        }
        let own = &self.state.shared.settings.host.id;
        poison::clear(&mut table, &self.fingerprint(), own);
    }

    /// Builds the answer and writes the line that explains it.
    fn finish(&self, ended: Ended) -> Option<Answer> {
        let id = text_of(self.request_id.as_ref());
        let target = self.tried.last().map_or("-", TargetName::as_str);
        let now = self.now();
        match &ended {
            Ended::Answered(answer) => {
                let is_served = !answer.status.is_server_error();
                self.with_record(|record| record.record_end(is_served, now));
            }
            Ended::Refused(_) => self.with_record(|record| record.record_end(false, now)),
            Ended::CallerGone => {}
        }
        match ended {
            Ended::Answered(answer) => {
                metrics::histogram!("agatehold_request_seconds",
                    "service" => self.service.to_string())
                .record(self.arrival.arrived_at.elapsed().as_secs_f64());
                log::info!(
                    "event=answered id={id} path={} route={} service={} target={target} sent={} status={} over_budget={} ms={} config={}",
                    self.arrival.head.target,
                    self.route.name,
                    self.service,
                    self.tried.len(),
                    answer.status.as_u16(),
                    self.is_over_budget,
                    self.elapsed_ms(),
                    self.version
                );
                Some(relay(answer))
            }
            Ended::CallerGone => {
                log::info!(
                    "event=caller_gone id={id} route={} service={} target={target} ms={}",
                    self.route.name,
                    self.service,
                    self.elapsed_ms()
                );
                None
            }
            Ended::Refused(kind) => {
                let outcome = if self.attempts.may_have_run > 0 {
                    RefusalOutcome::Unknown
                } else {
                    RefusalOutcome::NotRun
                };
                metrics::counter!("agatehold_refusals_total",
                    "kind" => kind.answer().name)
                .increment(1);
                log::warn!(
                    "event=refused id={id} path={} kind={kind} outcome={outcome} route={} service={} target={target} sent={} over_budget={} detail=\"{}\" backlog={} ms={} config={}",
                    self.arrival.head.target,
                    self.route.name,
                    self.service,
                    self.attempts.sent,
                    self.is_over_budget,
                    self.detail,
                    self.backlog_ms.unwrap_or(DurationMs(0)),
                    self.elapsed_ms(),
                    self.version
                );
                let id = self.request_id.as_ref();
                Some(answers::refusal(
                    self.state,
                    kind,
                    outcome,
                    self.backlog_ms,
                    id,
                ))
            }
        }
    }
}

/// Passes the answer of a target on.
fn relay(answer: TargetAnswer) -> Answer {
    let mut headers = answer.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(HeaderName::from_static(target_headers::LOAD));
    Answer {
        status: answer.status.as_u16(),
        headers,
        body: answer.body,
        closes: false,
        is_head_answer: false,
    }
}
