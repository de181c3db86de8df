//! The measurements, each with a function that prints its table.

mod costs;
mod network;
mod shares;

pub use costs::note_apply;
pub use costs::table_memory;
pub use costs::tick_cost;
pub use network::PeerBytes;
pub use network::count_platform_calls;
pub use network::detection_of_loss;
pub use network::fleet_plan;
pub use network::loss_detection_times_ms;
pub use network::measure_peer_bytes;
pub use network::note_spread;
pub use network::note_spread_times_ms;
pub use network::peer_bytes;
pub use network::platform_calls;
pub use shares::entry_shares;
pub use shares::share_ratio;
