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
    let mut assigned = 0_u64;
    for index in &entry.targets {
        let target = &table.targets[index.position()];
        let own = match rank {
            Some(rank) => slots_for_rank(rank, entries, assigned, target.slots.0),
            None => 0,
        };
        target.cell.set_home_slots(SlotCount(own));
        assigned += u64::from(target.slots.0);
    }
}

/// Returns how many of a target's `slots` are assigned to `rank`, given that
/// `assigned` slots of other targets come before them; 0 for a `rank` that is not
/// below `entries`.
fn slots_for_rank(rank: u32, entries: u32, assigned: u64, slots: u32) -> u32 {
    if rank >= entries {
        return 0;
    }
    let (rank, entries) = (u64::from(rank), u64::from(entries));
    let up_to = |end: u64| (end + entries - 1 - rank) / entries;
    let own = up_to(assigned + u64::from(slots)) - up_to(assigned);
    u32::try_from(own).unwrap_or(slots)
}
