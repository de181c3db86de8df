//! Assigns the slots of a service to its entry daemons; those assigned to a
//! daemon are its home slots.
//!
//! Daemons don't see each other's requests. If each used all slots that it
//! believes to be free, targets would shed requests without regard to their
//! class.

use crate::units::SlotCount;

use super::RoutingTable;
use super::ServiceIndex;

/// Sets the home slots of the daemon with position `rank` among `entries` entry
/// daemons. A daemon that is not an entry daemon (`None`) gets no home slots.
///
/// Slots are assigned to the daemons in turn, so that the slots of a daemon are
/// at different targets and the daemons' totals differ by at most one. Daemons
/// with the same configuration and the same list of entry daemons compute the
/// same assignment.
pub fn write_home_slots(
    table: &RoutingTable,
    service: ServiceIndex,
    rank: Option<u32>,
    entries: u32,
) {
    let Some(entry) = table.services.get(service.position()) else {
        return;
    };
    let mut assigned = 0;
    for index in &entry.targets {
        let target = &table.targets[index.position()];
        let own = match rank {
            Some(rank) => slots_for_rank(rank, entries, assigned, target.slots.0),
            None => 0,
        };
        target.cell.set_home_slots(SlotCount(own));
        assigned += target.slots.0;
    }
}

/// Returns how many of a target's `slots` are assigned to `rank`, given that
/// `assigned` slots of other targets come before them.
fn slots_for_rank(rank: u32, entries: u32, assigned: u32, slots: u32) -> u32 {
    let up_to = |end: u32| (end + entries - 1 - rank) / entries.max(1);
    up_to(assigned + slots) - up_to(assigned)
}
