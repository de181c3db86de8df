//! Gossip membership and failure detection: which hosts make up the fleet, and
//! the phase and liveness of each.
//!
//! [`run`] is called on each tick, [`digest`] builds each message to another
//! daemon, [`merge`] merges each received one, and [`record_unreachable`] records
//! each failed exchange.

mod digest;
mod host_list;
mod merge;
mod neighbours;
mod own;
mod rows;
mod suspicion;

pub use digest::DIGEST_ROWS_MAX;
pub use digest::EvidenceUpdate;
pub use digest::HeadUpdate;
pub use digest::JOIN_ROWS_MAX;
pub use digest::LeavingUpdate;
pub use digest::PeerDigest;
pub use digest::PermitUpdate;
pub use digest::PoisonUpdate;
pub use digest::RowUpdate;
pub use digest::StandingUpdate;
pub use host_list::host_list_period;
pub use host_list::merge_host_list;
pub use merge::digest;
pub use merge::merge;
pub use neighbours::neighbours;
pub use neighbours::queue_urgent_exchanges;
pub use neighbours::ring_position;
pub use neighbours::run;
pub use own::Contact;
pub use own::contact;
pub use own::forget_contact;
pub use own::new_incarnation;
pub use own::set_phase;
pub use own::start;
pub use rows::ExchangePlan;
pub use rows::Heartbeat;
pub use rows::HostPhase;
pub use rows::ListedHost;
pub use rows::Membership;
pub use rows::OwnRow;
pub use rows::PeerChange;
pub use rows::PeerRow;
pub use rows::Standing;
pub use suspicion::record_unreachable;
