//! How daemons get changes of the platform's store from each other.
//!
//! A few daemons in each failure domain watch the store and send the others
//! heartbeats with the revisions that they know. The others fetch newer
//! contents from them, and read the store themselves if no heartbeats arrive.

mod beats;
mod refresh;

pub use beats::Beat;
pub use beats::BeatTable;
pub use beats::HeardBeat;
pub use beats::Revisions;
pub use refresh::Refresh;
pub use refresh::SILENCE_MS;
pub use refresh::STORE_FRESH_MS;
pub use refresh::is_store_away;
pub use refresh::is_told;
pub use refresh::next_refresh;
