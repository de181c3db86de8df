//! Settings of the daemon, of the daemon in gateway mode, and of `agateholdctl`.

mod daemon;
mod gateway;
mod operator;
mod values;

pub use daemon::AdminSettings;
pub use daemon::DaemonSettings;
pub use daemon::HostSettings;
pub use daemon::KnownHost;
pub use daemon::LimitSettings;
pub use daemon::ListenSettings;
pub use daemon::LogLevel;
pub use daemon::PeerSettings;
pub use daemon::parse_daemon;
pub use gateway::GatewayListen;
pub use gateway::GatewaySettings;
pub use gateway::parse_gateway;
pub use operator::FleetSettings;
pub use operator::OperatorSettings;
pub(crate) use operator::parse_author;
pub use operator::parse_operator;
pub use values::ConnectionCount;
pub use values::ParseValueError;
pub use values::PlatformSettings;
pub use values::ThreadCount;
