//! How a daemon without a configuration finds its first one.

use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::NoteNumber;
use crate::membership::Membership;
use crate::note::Head;
use crate::table::Table;

use super::PlatformRow;

/// The peers that a starting daemon asks before it trusts the platform's
/// head, which a restored platform may have set back.
const PEERS_BESIDE_PLATFORM: usize = 8;

/// What a starting daemon has learned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartRow {
    /// The heads that other daemons answered with, and their domains.
    ///
    /// Daemons that are starting too hold no configuration and don't count.
    pub answers: Table<HostId, (FailureDomain, Head)>,
    /// Whether enough peers have answered; set by [`update`].
    pub enough_peers: bool,
    /// Whether enough of all hosts have answered to do without the platform.
    pub enough_without_platform: bool,
    /// Whether the daemon has found its first configuration.
    pub done: bool,
}

impl StartRow {
    /// Returns the highest head that a peer answered with.
    pub fn highest(&self) -> Head {
        let mut highest = Head::default();
        for (_, (_, head)) in self.answers.rows() {
            if head.number > highest.number {
                highest = *head;
            }
        }
        highest
    }

    /// Returns whether the daemon may take a first configuration.
    pub(super) fn permits(&self, platform: &PlatformRow) -> bool {
        self.enough_without_platform || (self.enough_peers && platform.head.is_some())
    }

    /// Returns the lowest note with which the daemon may begin to serve, or
    /// `None` while that is not settled.
    fn required(&self, platform: &PlatformRow) -> Option<NoteNumber> {
        if !self.permits(platform) {
            return None;
        }
        let peers = self.highest().number;
        match platform.head {
            Some(head) => Some(head.number.max(peers)),
            None => Some(peers),
        }
    }
}

/// Brings the counts of answers up to date, and ends the start once the
/// daemon holds the configuration that it needs.
pub(super) fn update(
    start: &mut StartRow,
    membership: &Membership,
    platform: &PlatformRow,
    head: Head,
) {
    if start.done {
        return;
    }
    let known = membership.peers.len() + 1;
    let answered = start.answers.len();
    let mut domains = vec![&membership.own.failure_domain];
    for (_, row) in membership.peers.rows() {
        if !domains.contains(&&row.failure_domain) {
            domains.push(&row.failure_domain);
        }
    }
    let mut answering = vec![];
    for (_, (domain, _)) in start.answers.rows() {
        if !answering.contains(&domain) {
            answering.push(domain);
        }
    }
    let all_asked = usize::try_from(membership.plan.start_turn).is_ok_and(|turns| turns >= known);
    start.enough_peers = answered >= PEERS_BESIDE_PLATFORM.min(known - 1) || all_asked;
    start.enough_without_platform = answered * 2 > known && answering.len() >= domains.len().min(2);
    if let Some(required) = start.required(platform)
        && head.number >= required
    {
        start.done = true;
        start.answers = Table::new();
    }
}
