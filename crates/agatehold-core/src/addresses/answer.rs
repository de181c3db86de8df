//! The addresses that a caller gets.

use super::EntryHost;
use super::EntryRow;

/// The most addresses in one answer.
pub const ANSWER_ADDRESSES_MAX: usize = 3;

/// Returns the addresses for one caller, the one to use first in front.
///
/// `rotation` differs from answer to answer, so that callers spread evenly.
/// `is_available` excludes hosts that left since the entries were chosen. The
/// addresses lie in different failure domains while there are enough of them.
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
    // The alternatives move on with each full turn, so that the callers of a
    // lost daemon do not all go to the same one.
    let turn = usize::try_from(rotation / count % count).unwrap_or(0);
    chosen.push(usable[first]);
    for step in 0..usable.len() {
        let host = usable[(first + 1 + turn + step) % usable.len()];
        let known = chosen
            .iter()
            .any(|other| other.failure_domain == host.failure_domain);
        if !known {
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
