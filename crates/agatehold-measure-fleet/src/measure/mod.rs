//! The measurements, each with a function that prints its table.

mod costs;
mod network;
mod shares;

pub use costs::note_apply;
pub use costs::table_memory;
pub use costs::tick_cost;
pub use network::PeerBytes;
pub use network::detection_of_loss;
pub use network::detection_times;
pub use network::note_spread;
pub use network::peer_bytes;
pub use network::peer_bytes_of;
pub use network::plan;
pub use network::platform_calls;
pub use network::platform_calls_of;
pub use network::spread_times;
pub use shares::entry_shares;
pub use shares::share_ratio;
