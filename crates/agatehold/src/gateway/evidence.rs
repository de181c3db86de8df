//! Shares what the daemons see of targets.

use std::net::SocketAddr;
use std::rc::Rc;

use rand::RngExt;
use tokio::net::UdpSocket;

use agatehold_core::ids::ServiceName;
use agatehold_core::poison;
use agatehold_core::poison::CrashMark;

use super::news::DATAGRAM_BYTES_MAX;
use super::news::Evidence;
use super::news::decode_evidence;
use super::news::encode_evidence;
use super::traffic::TrafficState;

/// Tells the entry daemons of a service what was seen of one of its targets.
pub(super) fn share(state: &TrafficState, service: &ServiceName, evidence: &Evidence) {
    let view = state.view();
    let Some(entries) = view.entries_by_service.get(service) else {
        return;
    };
    let own = &state.shared.settings.host.id;
    let bytes = encode_evidence(evidence);
    for (host, member) in entries {
        if host == own {
            continue;
        }
        // Evidence that is lost is found again by the next request.
        let _ = state.evidence.try_send_to(&bytes, member.evidence);
    }
}

/// Binds the address on which evidence comes.
pub(super) fn bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Takes over what other daemons saw, until the task is dropped.
pub(super) async fn receive(state: Rc<TrafficState>) {
    let mut buffer = [0; DATAGRAM_BYTES_MAX];
    loop {
        let length = match state.evidence.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                // An earlier datagram met a closed port.
                log::debug!("event=receive_failed error=\"{error}\"");
                continue;
            }
        };
        if let Some(evidence) = decode_evidence(&buffer[..length]) {
            take(&state, &evidence);
        }
    }
}

fn take(state: &TrafficState, evidence: &Evidence) {
    let now = state.shared.clock.now();
    if let Some(fingerprint) = evidence.crash {
        let mark = CrashMark {
            fingerprint,
            target: evidence.target.name.clone(),
            reporter: evidence.reporter.clone(),
            at: now,
            cleared: false,
        };
        poison::mark_crash(&mut state.poison.borrow_mut(), mark, now);
    }
    let spread = state.rng.borrow_mut().random();
    let mut targets = state.targets.borrow_mut();
    let Some(row) = targets.rows.get_mut(&evidence.target.name) else {
        return;
    };
    if row.record.identity != evidence.target {
        return;
    }
    row.chosen_at = now;
    if evidence.moved {
        row.leaving = true;
    }
    if row
        .suspicion
        .record(evidence.outcome, evidence.run_ms, spread, now)
    {
        log::warn!(
            "event=target_avoided target={} service={} outcome={} nats={:.1} told_by={}",
            evidence.target.name,
            row.record.service,
            evidence.outcome,
            row.suspicion.nats(),
            evidence.reporter
        );
    }
}
