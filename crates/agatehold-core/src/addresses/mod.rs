//! The choice of the entry daemons of each service, and the addresses given to
//! a caller.

mod answer;
mod entries;
mod rendezvous;

pub use answer::ANSWER_ADDRESSES_MAX;
pub use answer::answer;
pub use entries::EntryHost;
pub use entries::EntryRow;
pub use entries::choose_entries;
pub use rendezvous::rendezvous_fraction;
pub use rendezvous::rendezvous_score;
