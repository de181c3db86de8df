//! How daemons get changes of the platform's store from each other.
//!
//! A few daemons in each failure domain watch the store and send the others
//! heartbeats with the revisions that they know. The others fetch newer
//! contents from them, and read the store themselves if no heartbeats arrive.

mod heartbeats;
mod refresh;

pub use heartbeats::HeartbeatTable;
pub use heartbeats::ReceivedHeartbeat;
pub use heartbeats::Revisions;
pub use heartbeats::StoreHeartbeat;
pub use refresh::HEARTBEAT_TIMEOUT_MS;
pub use refresh::Refresh;
pub use refresh::STORE_ANSWER_AGE_MAX_MS;
pub use refresh::has_recent_heartbeat;
pub use refresh::is_store_unavailable;
pub use refresh::next_refresh;
