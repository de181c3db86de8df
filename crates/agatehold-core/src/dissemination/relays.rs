//! Decides which datagrams cross the boundary of a failure domain.

use std::collections::BTreeMap;

use crate::ids::FailureDomain;
use crate::ids::HostId;

/// The number of recipients in another failure domain from which one of them passes a
/// message on to the others.
const RELAYED_MIN: usize = 3;

/// A datagram to one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery<'a> {
    /// The host.
    pub host: &'a HostId,
    /// Whether the host passes the message on to the other recipients in its failure
    /// domain.
    pub is_relay: bool,
}

/// Returns the datagrams by which a message reaches `recipients`.
///
/// Those in the sender's own failure domain get it directly. In each other domain,
/// `copies` of the recipients pass it on to the rest, so that its bytes cross the
/// boundary `copies` times and not once for each recipient. `turn` changes from message
/// to message: other hosts are the relays each time, and one that has just been lost
/// costs only a part of the messages.
pub fn deliveries<'a>(
    recipients: &[(&'a HostId, &'a FailureDomain)],
    own_domain: &FailureDomain,
    turn: u64,
    copies: usize,
) -> Vec<Delivery<'a>> {
    let mut chosen = Vec::new();
    let mut far: BTreeMap<&FailureDomain, Vec<&HostId>> = BTreeMap::new();
    for (host, domain) in recipients {
        if *domain == own_domain {
            let is_relay = false;
            chosen.push(Delivery { host, is_relay });
            continue;
        }
        far.entry(domain).or_default().push(host);
    }
    for hosts in far.values() {
        let is_relay = hosts.len() >= RELAYED_MIN.max(copies + 1);
        let count = if is_relay { copies } else { hosts.len() };
        let first = usize::try_from(turn % hosts.len() as u64).unwrap_or(0);
        for host in hosts.iter().cycle().skip(first).take(count) {
            chosen.push(Delivery { host, is_relay });
        }
    }
    chosen
}
