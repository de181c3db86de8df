//! How daemons get changes of the platform's store from each other.
//!
//! A few entry daemons watch the store and send the others heartbeats with the
//! revisions that they know. The others fetch what has changed from them, and
//! read the store themselves if no heartbeat confirms their contents. If the store
//! rejects them too, they ask daemons that they pick at random.

mod confirmations;
mod heartbeats;
mod recipients;
mod refresh;
mod refresher;
mod relays;
mod replica;

pub use confirmations::Confirmations;
pub use confirmations::WatchedGroup;
pub use heartbeats::HeartbeatTable;
pub use heartbeats::ReceivedHeartbeat;
pub use heartbeats::Revisions;
pub use heartbeats::SentTime;
pub use heartbeats::StoreHeartbeat;
pub use recipients::heartbeat_recipients;
pub use recipients::pull_sources;
pub use recipients::watching_daemons;
pub use refresh::HEARTBEAT_INTERVAL_MS;
pub use refresh::HEARTBEAT_TIMEOUT_MS;
pub use refresh::STORE_ANSWER_AGE_MAX_MS;
pub use refresh::STORE_CHECK_INTERVAL_MS;
pub use refresh::fetch_sources;
pub use refresh::has_recent_heartbeat;
pub use refresh::is_store_unavailable;
pub use refresh::read_due_at;
pub use refresher::FETCH_TIMEOUT_MS;
pub use refresher::ReadReason;
pub use refresher::Refresh;
pub use refresher::RefreshInputs;
pub use refresher::Refresher;
pub use relays::Delivery;
pub use relays::deliveries;
pub use replica::KeyChange;
pub use replica::Replica;
pub use replica::ReplicaRow;
pub use replica::ReplicaUpdate;
