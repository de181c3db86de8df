//! The answers of the admin address about a daemon and what it knows.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use agatehold_core::config::TargetState;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TargetName;

use crate::json::HeadJson;
use crate::json::text;

/// The state of a host (section 5 of the design page).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host has no configuration yet.
    Starting,
    /// The host serves callers.
    Serving,
    /// The host stops as planned.
    Leaving,
    /// Two hosts can't reach the host.
    Suspected,
    /// The host did not refute the suspicion.
    Gone,
}

/// Whether the daemon's last call to the platform was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// It was answered.
    Reachable,
    /// It was not.
    Unreachable,
    /// The daemon has made no call yet.
    Untried,
}

/// Answer of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The daemon's host.
    #[serde(with = "text")]
    pub host: HostId,
    /// The failure domain of the host.
    #[serde(with = "text")]
    pub failure_domain: FailureDomain,
    /// This start of the daemon.
    #[serde(with = "text")]
    pub incarnation: Incarnation,
    /// The version of the daemon.
    pub version: Box<str>,
    /// The daemon's state.
    pub state: HostState,
    /// Whether the daemon refuses work, since it can't confirm its
    /// configuration.
    pub isolated: bool,
    /// The note in force, if there is one.
    pub head: Option<HeadJson>,
    /// The age of the last proof that the head is current.
    pub head_confirmed_age_ms: Option<u64>,
    /// The daemon's view of the platform.
    pub platform: PlatformState,
    /// The number of hosts that the daemon knows, itself included.
    pub known_hosts: u32,
    /// The number of hosts that the daemon is in contact with, itself
    /// included.
    pub reached_hosts: u32,
    /// The number of callers' requests in flight.
    pub in_flight: u32,
    /// The time since the daemon's start.
    pub uptime_ms: u64,
}

/// Answer of `GET /v1/hosts`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostsAnswer {
    /// The hosts by id.
    pub hosts: Vec<HostEntry>,
}

/// One host as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's id.
    #[serde(with = "text")]
    pub id: HostId,
    /// The host's failure domain.
    #[serde(with = "text")]
    pub failure_domain: FailureDomain,
    /// The newest start of the host's daemon that is known.
    #[serde(with = "text")]
    pub incarnation: Incarnation,
    /// The host's state.
    pub state: HostState,
    /// The number of the note that the host last reported, 0 for none.
    pub note: u64,
    /// The time since the host's heartbeat last rose.
    pub heartbeat_age_ms: Option<u64>,
    /// Where daemons connect to the host.
    pub peers: Option<SocketAddr>,
    /// Where callers connect to the host.
    pub callers: Option<SocketAddr>,
}

/// Answer of `GET /v1/targets`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetsAnswer {
    /// The targets by name.
    pub targets: Vec<TargetEntry>,
}

/// How a daemon chooses a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetRank {
    /// The target is chosen first.
    Preferred,
    /// The target gets a growing share.
    Ramping,
    /// The target is chosen last.
    Avoided,
    /// The target gets no work.
    Excluded,
}

/// One target as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target's name.
    #[serde(with = "text")]
    pub name: TargetName,
    /// The target's service.
    #[serde(with = "text")]
    pub service: ServiceName,
    /// The address that the daemon connects to.
    pub address: SocketAddr,
    /// The failure domain of the target's host.
    #[serde(with = "text")]
    pub failure_domain: FailureDomain,
    /// Whether operators or the target itself let it receive work.
    #[serde(with = "text")]
    pub state: TargetState,
    /// How the daemon chooses the target.
    pub rank: TargetRank,
    /// The requests that the daemon has in flight at the target.
    pub in_flight: u32,
    /// The requests that the target runs at once.
    pub slots: u32,
    /// The requests in flight that the target last reported.
    pub reported_in_flight: Option<u32>,
    /// The age of that report.
    pub reported_age_ms: Option<u64>,
    /// The greatest log likelihood ratio of the failure tests.
    pub evidence: f64,
    /// The median time of the target's recent answers.
    pub median_ms: Option<f64>,
}

/// Answer of `GET /v1/ejections`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EjectionsAnswer {
    /// The permits in force, by target.
    pub ejections: Vec<EjectionEntry>,
    /// The services by name.
    pub services: Vec<ServiceCapacity>,
}

/// The state of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EjectionState {
    /// No daemon sends work to the target.
    Ejected,
    /// The target gets trials and still counts as ejected.
    Returning,
}

/// One ejection permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EjectionEntry {
    /// The ejected target.
    #[serde(with = "text")]
    pub target: TargetName,
    /// The target's service.
    #[serde(with = "text")]
    pub service: ServiceName,
    /// The state of the permit.
    pub state: EjectionState,
    /// The time since the daemon learned of the permit.
    pub age_ms: u64,
    /// The age of the last proof that the permit stands.
    pub confirmed_age_ms: u64,
}

/// The capacity of a service and its limit on ejections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// The service's name.
    #[serde(with = "text")]
    pub service: ServiceName,
    /// The number of targets below which nothing is ejected.
    pub floor: u32,
    /// The number of healthy targets.
    pub healthy: u32,
    /// The number of permits taken.
    pub permits: u32,
}

/// Answer of `POST /v1/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainAnswer {
    /// The daemon's state after the call.
    pub state: HostState,
    /// The number of callers' requests in flight.
    pub in_flight: u32,
}
