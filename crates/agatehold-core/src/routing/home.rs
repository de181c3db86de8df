//! Divides the slots of a service among the daemons that it is entered
//! through.
//!
//! Daemons don't see each other's requests. Where each uses all slots that it
//! believes free, targets shed, and what they shed has no order of classes.

use crate::units::SlotCount;

use super::RoutingTable;
use super::ServiceIndex;

/// Gives the daemon at place `rank` of `entries` its slots of the service, and
/// a daemon without a place none.
///
/// Slots are dealt in turn, so that a daemon's slots lie at different targets
/// and all shares differ by one at most. Daemons that agree on the
/// configuration and the entries agree on the shares.
pub fn write_home_slots(
    table: &RoutingTable,
    service: ServiceIndex,
    rank: Option<u32>,
    entries: u32,
) {
    let Some(entry) = table.services.get(service.position()) else {
        return;
    };
    let mut dealt = 0;
    for index in &entry.targets {
        let target = &table.targets[index.position()];
        let own = match rank {
            Some(rank) => dealt_to(rank, entries, dealt, target.slots.0),
            None => 0,
        };
        target.cell.set_home_slots(SlotCount(own));
        dealt += target.slots.0;
    }
}

/// Returns how many of `slots` go to `rank`, after `dealt` ones before them.
fn dealt_to(rank: u32, entries: u32, dealt: u32, slots: u32) -> u32 {
    let up_to = |end: u32| (end + entries - 1 - rank) / entries.max(1);
    up_to(dealt + slots) - up_to(dealt)
}
