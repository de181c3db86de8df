//! Sends datagrams to the entry daemons of a service. Those in other failure domains get
//! them from one of their own, so that each message crosses a boundary once.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use agatehold_core::directory::MemberRecord;
use agatehold_core::dissemination::deliveries;
use agatehold_core::ids::HostId;
use agatehold_core::ids::ServiceName;

use super::shared::View;
use super::traffic::TrafficState;

/// How a message begins that its receiver passes on.
const RELAY_PREFIX: &[u8] = b"{\"relay_to\"";

/// Which entry daemons of a service get a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recipients {
    /// All.
    All,
    /// Those to which the sender reports its use of targets.
    UseReports,
}

/// How often a message crosses the boundary of each failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Copies {
    /// Once: later messages make up for a lost one.
    One,
    /// Twice: a daemon that misses it would harm requests or targets.
    Two,
}

impl Copies {
    const fn count(self) -> usize {
        match self {
            Self::One => 1,
            Self::Two => 2,
        }
    }
}

/// A message that its receiver passes on.
#[derive(Serialize, Deserialize)]
struct RelayJson<'a> {
    /// The service whose entry daemons get the message.
    relay_to: String,
    /// The host of the first sender.
    sender: String,
    /// Whether only those get it to which the sender reports its use of targets.
    use_reports: bool,
    #[serde(borrow)]
    message: &'a RawValue,
}

/// Sends a message to the other entry daemons of a service.
pub(super) fn send_to_entry_daemons(
    state: &TrafficState,
    service: &ServiceName,
    bytes: &[u8],
    recipients: Recipients,
    copies: Copies,
) {
    let own = &state.shared.settings.host;
    let view = state.view();
    let rows = recipient_rows(&view, service, &own.id, recipients);
    let hosts: Vec<_> = rows
        .iter()
        .map(|(host, member)| (*host, &member.failure_domain))
        .collect();
    let turn = state.relay_turn.get();
    state.relay_turn.set(turn.wrapping_add(1));
    let mut envelope = None;
    for delivery in deliveries(&hosts, &own.failure_domain, turn, copies.count()) {
        let Some(member) = view.members.get(delivery.host) else {
            continue;
        };
        let is_near = member.failure_domain == own.failure_domain;
        if !delivery.is_relay {
            send(state, member.evidence, bytes, is_near);
            continue;
        }
        let envelope = envelope.get_or_insert_with(|| encode(service, &own.id, recipients, bytes));
        send(state, member.evidence, envelope, is_near);
    }
}

/// Returns the message within a datagram, after passing it on if its sender asks for it.
pub(super) fn receive<'a>(state: &TrafficState, datagram: &'a [u8]) -> &'a [u8] {
    if !datagram.starts_with(RELAY_PREFIX) {
        return datagram;
    }
    let Ok(json) = serde_json::from_slice::<RelayJson<'a>>(datagram) else {
        return datagram;
    };
    let message = json.message.get().as_bytes();
    let service = ServiceName::external(&json.relay_to);
    let sender = HostId::external(&json.sender);
    let recipients = match json.use_reports {
        true => Recipients::UseReports,
        false => Recipients::All,
    };
    let own = &state.shared.settings.host;
    let view = state.view();
    for (host, member) in recipient_rows(&view, &service, &sender, recipients) {
        if *host != own.id && member.failure_domain == own.failure_domain {
            send(state, member.evidence, message, true);
        }
    }
    message
}

/// Returns the entry daemons of a service that get a message of `sender`.
fn recipient_rows<'a>(
    view: &'a View,
    service: &ServiceName,
    sender: &HostId,
    recipients: Recipients,
) -> Vec<(&'a HostId, &'a MemberRecord)> {
    let sender_rank = view.daemon_rank(sender, service);
    let mut rows = Vec::new();
    let entries = view.entries_by_service.get(service);
    for (rank, (host, member)) in (0..).zip(entries.into_iter().flatten()) {
        let gets_reports = || sender_rank.is_some_and(|sender| sender.reports_to(rank));
        if host == sender || (recipients == Recipients::UseReports && !gets_reports()) {
            continue;
        }
        rows.push((host, member));
    }
    rows
}

fn encode(service: &ServiceName, sender: &HostId, recipients: Recipients, bytes: &[u8]) -> Vec<u8> {
    let Ok(message) = serde_json::from_slice(bytes) else {
        return Vec::new();
    };
    let json = RelayJson {
        relay_to: service.to_string(),
        sender: sender.to_string(),
        use_reports: recipients == Recipients::UseReports,
        message,
    };
    // Strings, booleans and JSON always serialize to JSON.
    serde_json::to_vec(&json).unwrap_or_default()
}

fn send(state: &TrafficState, address: SocketAddr, bytes: &[u8], is_near: bool) {
    let domain = if is_near { "own" } else { "other" };
    metrics::counter!("agatehold_datagram_bytes_total", "domain" => domain)
        .increment(bytes.len() as u64);
    // A lost datagram is acceptable: the next requests bring the same information.
    let _ = state.evidence.try_send_to(bytes, address);
}
