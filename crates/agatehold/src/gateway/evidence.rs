//! Exchanges evidence about the health of targets, and pressure reports, between
//! daemons over UDP.

use std::net::SocketAddr;
use std::rc::Rc;

use rand::RngExt;
use tokio::net::UdpSocket;

use agatehold_core::directory::MemberRecord;
use agatehold_core::dispatch::PressureChange;
use agatehold_core::dispatch::count_target_states;
use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;
use agatehold_core::outcome::AttemptOutcome;
use agatehold_core::poison;
use agatehold_core::poison::CrashMark;
use agatehold_core::poison::PoisonTable;
use agatehold_core::poison::Suspicion;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use super::allotments;
use super::crash_check::LostConnection;
use super::messages::CrashMarkAge;
use super::messages::CrashMarksMessage;
use super::messages::DATAGRAM_BYTES_MAX;
use super::messages::Evidence;
use super::messages::LeavingMessage;
use super::messages::NoCrashMessage;
use super::messages::PeerStatements;
use super::messages::PressureMessage;
use super::messages::TrafficMessage;
use super::messages::decode_traffic_message;
use super::messages::encode_crash_marks;
use super::messages::encode_dead_connection;
use super::messages::encode_evidence;
use super::messages::encode_leaving;
use super::messages::encode_no_crash;
use super::messages::encode_pressure;
use super::relay;
use super::relay::Copies;
use super::relay::Recipients;
use super::relay::send_to_entry_daemons;
use super::shared::View;
use super::traffic::TrafficState;

/// The number of entry daemons of a service that tell a started daemon what they know, so
/// that it hears of it also if a datagram is lost or one of them is gone.
const STATEMENT_SENDERS: usize = 3;

/// The number of entry daemons that pass on the crash that another daemon has reported.
const CRASH_MARK_SENDERS: u32 = 2;

/// The maximum number of leaving targets that a started daemon is told of.
const LEAVING_TARGETS_MAX: usize = 128;

/// The number of targets whose statements are kept from which on those of unknown targets
/// are ignored, so that they can't fill the table.
const STATEMENTS_MAX: usize = 1_024;

/// The maximum number of requests that a new daemon is told of; few requests ever crash
/// two targets.
const CRASH_MARK_REQUESTS_MAX: usize = 32;

/// Sends evidence about a target to the other entry daemons of its service.
pub(super) fn send_evidence(state: &TrafficState, service: &ServiceName, evidence: &Evidence) {
    // What a daemon does not know of a crash, it sees when the request crashes a target.
    let copies = if evidence.crash.is_some() || evidence.moved {
        Copies::Two
    } else {
        Copies::One
    };
    let bytes = encode_evidence(evidence);
    send_to_entry_daemons(state, service, &bytes, Recipients::All, copies);
}

/// Records that a connection to a target was dead after a rest, and tells the other entry
/// daemons of the service if they should trust shorter rests only.
pub(super) fn report_dead_connection(
    state: &TrafficState,
    service: &ServiceName,
    rested_ms: DurationMs,
) {
    metrics::counter!("agatehold_dead_connections_total",
        "service" => service.to_string())
    .increment(1);
    let mut reuse = state.connection_reuse.get();
    let distrusted = reuse.record_dead(rested_ms, state.shared.clock.now());
    state.connection_reuse.set(reuse);
    let Some(rested_ms) = distrusted else {
        return;
    };
    log::info!("event=connections_distrusted rested={rested_ms}");
    let bytes = encode_dead_connection(rested_ms);
    send_to_entry_daemons(state, service, &bytes, Recipients::All, Copies::Two);
}

/// Distrusts connections that have rested for as long as another daemon tells.
fn distrust_connections(state: &TrafficState, rested_ms: DurationMs) {
    let mut reuse = state.connection_reuse.get();
    if reuse.distrust(rested_ms, state.shared.clock.now()) {
        log::info!("event=connections_distrusted rested={rested_ms} told=true");
    }
    state.connection_reuse.set(reuse);
}

/// Tells the other entry daemons of a service that a target is leaving, which they hear
/// from the store up to two seconds later.
pub(super) fn send_leaving(state: &TrafficState, service: &ServiceName, target: &TargetIdentity) {
    let message = LeavingMessage {
        target: target.clone(),
        reporter: state.shared.settings.host.id.clone(),
    };
    let bytes = encode_leaving(&message);
    send_to_entry_daemons(state, service, &bytes, Recipients::All, Copies::Two);
}

/// Tells the other entry daemons of a service of the crashes that are confirmed of a
/// request, and all daemons if it is refused since the last of them: those that are no
/// entry daemons would each let it crash two more targets.
pub(super) fn send_crash_marks(
    state: &TrafficState,
    service: &ServiceName,
    fingerprint: &Digest,
    was_refused: bool,
    now: TimeMs,
) {
    let message = crash_marks(&state.poison.borrow(), fingerprint, now);
    let bytes = encode_crash_marks(&message);
    send_to_entry_daemons(state, service, &bytes, Recipients::All, Copies::Two);
    if !was_refused && poison::is_refused(&state.poison.borrow(), fingerprint, now) {
        send_to_other_daemons(state, service, &bytes);
    }
}

/// Tells the other entry daemons of a service that a target has not crashed.
pub(super) fn send_no_crash(state: &TrafficState, service: &ServiceName, message: &NoCrashMessage) {
    let bytes = encode_no_crash(message);
    send_to_entry_daemons(state, service, &bytes, Recipients::All, Copies::Two);
}

/// Tells the daemons that are no entry daemons of a service that a request which had
/// crashed two targets has been answered.
pub(super) fn send_answered(state: &TrafficState, service: &ServiceName, evidence: &Evidence) {
    send_to_other_daemons(state, service, &encode_evidence(evidence));
}

/// Tells all daemons that a target has answered a request with crash marks, and lives.
pub(super) fn send_survival(state: &TrafficState, lost: &LostConnection, now: TimeMs) {
    let evidence = Evidence {
        target: lost.target.clone(),
        outcome: AttemptOutcome::Answered,
        run_ms: now.since(lost.lost_at),
        moved: false,
        crash: None,
        answered: Some(lost.fingerprint),
        reporter: state.shared.settings.host.id.clone(),
    };
    send_evidence(state, &lost.service, &evidence);
    send_answered(state, &lost.service, &evidence);
}

/// Sends a datagram to the daemons that are no entry daemons of a service.
fn send_to_other_daemons(state: &TrafficState, service: &ServiceName, bytes: &[u8]) {
    let view = state.view();
    let own = &state.shared.settings.host.id;
    for (host, member) in view.members.rows() {
        if host == own || view.is_entry(host, service) {
            continue;
        }
        // A lost datagram is acceptable: the daemon sees the next crash itself.
        let _ = state.evidence.try_send_to(bytes, member.evidence);
    }
}

/// Returns what this daemon tells one that has started and asks.
pub(super) fn peer_statements(state: &TrafficState) -> PeerStatements {
    let targets = state.targets.borrow();
    let leaving = targets.leaving_targets(LEAVING_TARGETS_MAX).into_iter();
    PeerStatements {
        leaving: leaving.cloned().collect(),
        crash_marks: refused_requests(state),
    }
}

/// Returns the crash marks of the requests that are refused.
fn refused_requests(state: &TrafficState) -> Vec<CrashMarksMessage> {
    let now = state.shared.clock.now();
    let poison = state.poison.borrow();
    let mut messages = Vec::new();
    for fingerprint in poison::refused_requests(&poison, CRASH_MARK_REQUESTS_MAX, now) {
        messages.push(crash_marks(&poison, &fingerprint, now));
    }
    messages
}

/// Returns the crash marks of a request that are not cleared.
fn crash_marks(poison: &PoisonTable, fingerprint: &Digest, now: TimeMs) -> CrashMarksMessage {
    let marks = poison.rows.get(fingerprint);
    let marks = marks.into_iter().flat_map(|row| &row.marks);
    CrashMarksMessage {
        fingerprint: *fingerprint,
        marks: marks
            .filter(|mark| !mark.cleared)
            .map(|mark| CrashMarkAge {
                target: mark.target.clone(),
                reporter: mark.reporter.clone(),
                age_ms: now.since(mark.at),
            })
            .collect(),
    }
}

/// Tells the daemons that are new in the fleet, or that have started again, which targets
/// said that they are leaving and which requests have crashed two targets. They would send
/// requests to the former, and let the latter crash two more.
pub(super) fn inform_started_daemons(state: &TrafficState, before: &View, newest: &View) {
    let is_known = |host: &HostId, member: &MemberRecord| {
        let known = before.members.get(host);
        known.is_some_and(|known| known.incarnation == member.incarnation)
    };
    let own = &state.shared.settings.host.id;
    let mut started = Vec::new();
    for (host, member) in newest.members.rows() {
        if host != own && !is_known(host, member) {
            started.push(member);
        }
    }
    if started.is_empty() {
        return;
    }
    let statements = peer_statements(state);
    let mut messages = Vec::new();
    let mut is_sender_of_any = false;
    for (service, entries) in &newest.entries_by_service {
        let known = entries
            .iter()
            .filter(|(host, member)| is_known(host, member));
        if !known.take(STATEMENT_SENDERS).any(|(host, _)| host == own) {
            continue;
        }
        is_sender_of_any = true;
        let targets = state.targets.borrow();
        for target in &statements.leaving {
            if targets.service_of(target) != Some(service) {
                continue;
            }
            messages.push(encode_leaving(&LeavingMessage {
                target: target.clone(),
                reporter: own.clone(),
            }));
        }
    }
    if is_sender_of_any {
        messages.extend(statements.crash_marks.iter().map(encode_crash_marks));
    }
    for member in started {
        for message in &messages {
            // A lost datagram is acceptable: other daemons send the same.
            let _ = state.evidence.try_send_to(message, member.evidence);
        }
    }
}

/// Applies what other daemons have told this one after its start.
pub(super) fn apply_told(state: &TrafficState, view: &View) {
    let now = state.shared.clock.now();
    for told in &view.told {
        if told.number <= state.told_number.get() {
            continue;
        }
        state.told_number.set(told.number);
        for target in &told.statements.leaving {
            record_told_leaving(state, target, &told.address.to_string(), now);
        }
        for message in &told.statements.crash_marks {
            record_crash_marks(state, message, told.told_at, now);
        }
    }
}

/// Sends a pressure report to the other entry daemons of a service, if this daemon
/// is one of them and a report is due.
pub(super) fn send_pressure_report(state: &TrafficState, service: &ServiceName) {
    if state.daemon_rank(service).is_none() {
        return;
    }
    let now = state.shared.clock.now();
    let (change, report) = {
        let mut service_stats = state.service_stats.borrow_mut();
        let Some(stats) = service_stats.get_mut(service) else {
            return;
        };
        (stats.take_change(now), stats.take_report(now))
    };
    if let Some(change) = change {
        log_pressure_change(state, service, &change, now);
    }
    let Some(report) = report else {
        return;
    };
    let message = PressureMessage {
        service: service.clone(),
        counts: report.counts,
        is_pressed: report.is_pressed,
        used: state
            .targets
            .borrow()
            .used_since(service, report.since, now),
    };
    let bytes = encode_pressure(&message);
    send_to_entry_daemons(state, service, &bytes, Recipients::UseReports, Copies::One);
}

/// Logs that a service has come under pressure or has recovered, with the request
/// counts behind the decision and the number of targets by state.
fn log_pressure_change(
    state: &TrafficState,
    service: &ServiceName,
    change: &PressureChange,
    now: TimeMs,
) {
    let event = if change.is_pressed {
        "service_pressed"
    } else {
        "service_calm"
    };
    let state_counts = count_target_states(&state.targets.borrow(), service, now);
    log::info!(
        "event={event} service={service} own_served={} own_unserved={} served={:.1} unserved={:.1} used={} idle={} held={} unreachable={} leaving={} paused={}",
        change.own.served,
        change.own.unserved,
        change.served,
        change.unserved,
        state_counts.used,
        state_counts.idle,
        state_counts.held,
        state_counts.unreachable,
        state_counts.leaving,
        state_counts.paused
    );
}

/// Binds the UDP socket for evidence.
pub(super) fn bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Receives datagrams from other daemons and applies them, until the task is
/// cancelled.
pub(super) async fn receive(state: Rc<TrafficState>) {
    let mut buffer = [0; DATAGRAM_BYTES_MAX];
    loop {
        let (length, from) = match state.evidence.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // The kernel reports here that an earlier datagram was sent to a
                // closed port.
                log::debug!("event=receive_failed error=\"{error}\"");
                continue;
            }
        };
        match decode_traffic_message(relay::receive(&state, &buffer[..length])) {
            Some(TrafficMessage::Evidence(evidence)) => apply_evidence(&state, &evidence),
            Some(TrafficMessage::Pressure(message)) => apply_pressure(&state, &message),
            Some(TrafficMessage::Leaving(message)) => {
                state.view();
                let now = state.shared.clock.now();
                record_told_leaving(&state, &message.target, message.reporter.as_str(), now);
            }
            Some(TrafficMessage::DeadConnection(rested_ms)) => {
                distrust_connections(&state, rested_ms);
            }
            Some(TrafficMessage::CrashMarks(message)) => {
                let now = state.shared.clock.now();
                record_crash_marks(&state, &message, now, now);
            }
            Some(TrafficMessage::NoCrash(message)) => {
                record_no_crash(&state, &message, state.shared.clock.now());
            }
            Some(TrafficMessage::Ask(message)) => allotments::answer_ask(&state, &message, from),
            Some(TrafficMessage::Grant(message)) => allotments::apply_grant(&state, &message),
            None => log::debug!("event=news_skipped bytes={length}"),
        }
    }
}

/// Merges the crash marks that another daemon sent at `told_at`.
fn record_crash_marks(
    state: &TrafficState,
    message: &CrashMarksMessage,
    told_at: TimeMs,
    now: TimeMs,
) {
    let fingerprint = &message.fingerprint;
    let was_refused = poison::is_refused(&state.poison.borrow(), fingerprint, now);
    for mark in &message.marks {
        let mark = CrashMark {
            fingerprint: *fingerprint,
            target: mark.target.clone(),
            reporter: mark.reporter.clone(),
            at: told_at - mark.age_ms,
            cleared: false,
        };
        poison::confirm(&mut state.poison.borrow_mut(), &mark, now);
    }
    log::info!(
        "event=crash_marks fingerprint={fingerprint} marks={}",
        message.marks.len()
    );
    if !was_refused && poison::is_refused(&state.poison.borrow(), fingerprint, now) {
        pass_on_crash_marks(state, message, now);
    }
}

/// Withdraws the suspicion of a crash, as another daemon says.
fn record_no_crash(state: &TrafficState, message: &NoCrashMessage, now: TimeMs) {
    poison::withdraw(
        &mut state.poison.borrow_mut(),
        &message.fingerprint,
        &message.target,
        &message.reporter,
        now - message.age_ms,
    );
}

/// Records that a target is leaving, as another daemon says.
///
/// The target may be unknown: a daemon that has just started hears of it before it has
/// listed the targets.
fn record_told_leaving(state: &TrafficState, target: &TargetIdentity, told_by: &str, now: TimeMs) {
    let mut targets = state.targets.borrow_mut();
    if !targets.is_registered(target) && targets.statement_count() >= STATEMENTS_MAX {
        return;
    }
    if !targets.record_leaving(target, now) {
        return;
    }
    let service = targets.service_of(target);
    log::info!(
        "event=target_leaving target={} service={} told_by={told_by}",
        target.name,
        service.map_or("-", ServiceName::as_str),
    );
    metrics::counter!("agatehold_leaving_targets_total", "told_by" => "daemon").increment(1);
}

fn apply_pressure(state: &TrafficState, message: &PressureMessage) {
    let now = state.shared.clock.now();
    if !state
        .view()
        .entries_by_service
        .contains_key(&message.service)
    {
        // Unknown services are ignored, so that they can't fill the table.
        return;
    }
    let mut service_stats = state.service_stats.borrow_mut();
    let stats = service_stats.entry(message.service.clone()).or_default();
    stats.record_peer_report(message.counts, message.is_pressed, now);
    state
        .targets
        .borrow_mut()
        .record_peer_use(&message.used, now);
}

/// Tells the daemons that are no entry daemons of crashes that one of them has reported,
/// which knows of no other crash of the request.
fn pass_on_crash_marks(state: &TrafficState, message: &CrashMarksMessage, now: TimeMs) {
    let view = state.view();
    for mark in &message.marks {
        let targets = state.targets.borrow();
        let row = targets.rows.get(&mark.target);
        let Some(service) = row.map(|row| row.record.service.clone()) else {
            continue;
        };
        drop(targets);
        let is_sender = state.daemon_rank(&service);
        let is_sender = is_sender.is_some_and(|daemon_rank| daemon_rank.rank < CRASH_MARK_SENDERS);
        if is_sender && !view.is_entry(&mark.reporter, &service) {
            let marks = crash_marks(&state.poison.borrow(), &message.fingerprint, now);
            send_to_other_daemons(state, &service, &encode_crash_marks(&marks));
            return;
        }
    }
}

fn apply_evidence(state: &TrafficState, evidence: &Evidence) {
    let now = state.shared.clock.now();
    if let Some(fingerprint) = &evidence.crash {
        let suspicion = Suspicion {
            target: evidence.target.name.clone(),
            reporter: evidence.reporter.clone(),
            at: now,
            withdrawn: false,
        };
        poison::suspect(&mut state.poison.borrow_mut(), fingerprint, suspicion, now);
    }
    if let Some(fingerprint) = &evidence.answered {
        poison::revoke_marks(&mut state.poison.borrow_mut(), fingerprint);
    }
    let jitter = state.rng.borrow_mut().random();
    let mut targets = state.targets.borrow_mut();
    let Some(row) = targets.rows.get_mut(&evidence.target.name) else {
        return;
    };
    if row.record.identity != evidence.target {
        return;
    }
    row.used_at = row.used_at.max(now - evidence.run_ms);
    if evidence.moved {
        row.leaving = true;
    }
    if row
        .failure_detector
        .record(evidence.outcome, evidence.run_ms, jitter, now)
    {
        log::warn!(
            "event=target_avoided target={} service={} outcome={} nats={:.1} told_by={}",
            evidence.target.name,
            row.record.service,
            evidence.outcome,
            row.failure_detector.nats(),
            evidence.reporter
        );
    }
}
