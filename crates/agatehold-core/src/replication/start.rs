//! How a daemon without a configuration chooses its first one.

use crate::ids::FailureDomain;
use crate::ids::HostId;
use crate::ids::NoteNumber;
use crate::membership::Membership;
use crate::note::Head;
use crate::table::Table;

use super::PlatformHeadState;

/// The number of peers that must answer a starting daemon before it trusts the
/// platform's head, since a platform restored from a backup may have an older
/// one.
const PEER_ANSWERS_MIN: usize = 8;

/// What a starting daemon has learned from its peers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartupState {
    /// The failure domains and heads of the daemons that answered.
    ///
    /// Other starting daemons hold no configuration and are left out.
    pub answers: Table<HostId, (FailureDomain, Head)>,
    /// Whether enough peers have answered, or all known hosts were asked, so
    /// that the platform's head can be trusted; set by [`update`].
    pub enough_peers: bool,
    /// Whether more than half of the known hosts have answered, from at least
    /// two failure domains if there are two, so that the platform's head is
    /// not needed; set by [`update`].
    pub enough_without_platform: bool,
    /// Whether the daemon holds its first configuration and may serve.
    pub done: bool,
}

impl StartupState {
    /// Returns the highest head among the answers.
    pub fn highest(&self) -> Head {
        let mut highest = Head::default();
        for (_, (_, head)) in self.answers.rows() {
            if head.number > highest.number {
                highest = *head;
            }
        }
        highest
    }

    /// Returns whether enough is known to apply a first configuration.
    pub(super) fn may_apply_first_config(&self, platform: &PlatformHeadState) -> bool {
        self.enough_without_platform || (self.enough_peers && platform.head.is_some())
    }

    /// Returns the lowest note number with which the daemon may begin to
    /// serve, or `None` if too few sources have answered.
    fn required(&self, platform: &PlatformHeadState) -> Option<NoteNumber> {
        if !self.may_apply_first_config(platform) {
            return None;
        }
        let peers = self.highest().number;
        match platform.head {
            Some(head) => Some(head.number.max(peers)),
            None => Some(peers),
        }
    }
}

/// Updates whether enough peers have answered, and marks the start as done
/// once the daemon holds the required note.
pub(super) fn update(
    start: &mut StartupState,
    membership: &Membership,
    platform: &PlatformHeadState,
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
    start.enough_peers = answered >= PEER_ANSWERS_MIN.min(known - 1) || all_asked;
    start.enough_without_platform = answered * 2 > known && answering.len() >= domains.len().min(2);
    if let Some(required) = start.required(platform)
        && head.number >= required
    {
        start.done = true;
        start.answers = Table::new();
    }
}
