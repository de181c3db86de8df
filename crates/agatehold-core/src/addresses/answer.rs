//! Selects the entry addresses given to one caller.

use super::EntryHost;
use super::EntryRow;

/// The maximum number of addresses in one answer.
pub const ANSWER_ADDRESSES_MAX: usize = 3;

/// Returns the entries for one caller in the order of preference.
///
/// `rotation` is different for each answer, so that callers spread evenly over
/// the entries. `is_available` excludes hosts that left since the entries were
/// chosen. The entries are in different failure domains if there are enough
/// domains.
pub fn answer(
    row: &EntryRow,
    rotation: u64,
    is_available: impl Fn(&EntryHost) -> bool,
) -> Vec<&EntryHost> {
    let usable: Vec<&EntryHost> = row.hosts.iter().filter(|host| is_available(host)).collect();
    let mut chosen: Vec<&EntryHost> = Vec::new();
    let Ok(count) = u64::try_from(usable.len()) else {
        return chosen;
    };
    if count == 0 {
        return chosen;
    }
    let first = usize::try_from(rotation % count).unwrap_or(0);
    // The second and third entries change with each full rotation, so that the
    // callers of a lost daemon don't all move to the same one.
    let turn = usize::try_from(rotation / count % count).unwrap_or(0);
    chosen.push(usable[first]);
    for step in 0..usable.len() {
        let host = usable[(first + 1 + turn + step) % usable.len()];
        let has_domain = chosen
            .iter()
            .any(|other| other.failure_domain == host.failure_domain);
        if !has_domain {
            chosen.push(host);
        }
        if chosen.len() == ANSWER_ADDRESSES_MAX {
            return chosen;
        }
    }
    for step in 0..usable.len() {
        let host = usable[(first + 1 + turn + step) % usable.len()];
        if chosen.len() == ANSWER_ADDRESSES_MAX {
            break;
        }
        if !chosen.contains(&host) {
            chosen.push(host);
        }
    }
    chosen
}
