//! Response bodies of the admin API: the state of a daemon, and the hosts, targets
//! and ejections that it knows.

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

/// The state of a host (docs/design.md, section 5).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host has no configuration yet.
    Starting,
    /// The host serves callers. An isolated host is also reported as serving; see
    /// [`StatusAnswer::isolated`].
    Serving,
    /// The host is draining for a planned stop.
    Leaving,
    /// Two other hosts failed to reach the host.
    Suspected,
    /// The host was suspected and sent no heartbeat that refuted it.
    Gone,
}

/// Whether the platform answers the daemon's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// The platform answered recently.
    Reachable,
    /// The daemon called the platform, but got no recent answer.
    Unreachable,
    /// The daemon has not called the platform yet.
    Untried,
}

/// The response body of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The host that the daemon runs on.
    #[serde(with = "text")]
    pub host: HostId,
    /// The failure domain of the host.
    #[serde(with = "text")]
    pub failure_domain: FailureDomain,
    /// Identifies this start of the daemon process.
    #[serde(with = "text")]
    pub incarnation: Incarnation,
    /// The version of the daemon.
    pub version: Box<str>,
    /// The daemon's state.
    pub state: HostState,
    /// Whether the daemon is isolated: it can't confirm its configuration and has no
    /// contact with a majority of the hosts.
    pub isolated: bool,
    /// The note in force, if there is one.
    pub head: Option<HeadJson>,
    /// How long ago the head was last confirmed to be the platform's.
    pub head_confirmed_age_ms: Option<u64>,
    /// Whether the daemon reaches the platform.
    pub platform: PlatformState,
    /// The number of hosts that the daemon knows, itself included.
    pub known_hosts: u32,
    /// The number of hosts that the daemon is in contact with, itself
    /// included.
    pub reached_hosts: u32,
    /// The number of callers' requests in flight.
    pub in_flight: u32,
    /// The time since the daemon process started.
    pub uptime_ms: u64,
}

/// The response body of `GET /v1/hosts`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostsAnswer {
    /// The hosts, ordered by id.
    pub hosts: Vec<HostEntry>,
}

/// A host as the answering daemon knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's id.
    #[serde(with = "text")]
    pub id: HostId,
    /// The host's failure domain.
    #[serde(with = "text")]
    pub failure_domain: FailureDomain,
    /// The newest known incarnation of the host's daemon.
    #[serde(with = "text")]
    pub incarnation: Incarnation,
    /// The host's state.
    pub state: HostState,
    /// The number of the note that the host last reported, 0 for none.
    pub note: u64,
    /// The time since the host sent the newest heartbeat that is known of it.
    pub heartbeat_age_ms: Option<u64>,
    /// The address at which the host accepts other daemons.
    pub peers: Option<SocketAddr>,
    /// The address at which the host accepts callers.
    pub callers: Option<SocketAddr>,
}

/// The response body of `GET /v1/targets`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetsAnswer {
    /// The targets, ordered by name.
    pub targets: Vec<TargetEntry>,
}

/// A target's priority when a daemon picks the target for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetRank {
    /// The target is picked before the others.
    Preferred,
    /// The target is ramping up: it is picked less often, with a growing share.
    Ramping,
    /// The target is picked only if no other target has a free slot.
    Avoided,
    /// The target gets no requests.
    Excluded,
}

/// A target as the answering daemon knows it.
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
    /// The configured state of the target, or leaving if the daemon learned that the
    /// target is leaving.
    #[serde(with = "text")]
    pub state: TargetState,
    /// The target's priority when the daemon picks a target.
    pub rank: TargetRank,
    /// The number of requests that this daemon has in flight at the target.
    pub in_flight: u32,
    /// The number of requests that the target can run at once.
    pub slots: u32,
    /// The number of other daemons' requests in flight at the target, by its last
    /// report.
    pub reported_in_flight: Option<u32>,
    /// The age of that report.
    pub reported_age_ms: Option<u64>,
    /// The highest log likelihood ratio of failing against healthy among the
    /// statistical tests of the failure detector.
    pub evidence: f64,
    /// The median response time of recent requests to the target.
    pub median_ms: Option<f64>,
}

/// The response body of `GET /v1/ejections`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EjectionsAnswer {
    /// The ejection permits that the daemon knows.
    pub ejections: Vec<EjectionEntry>,
    /// The services, ordered by name.
    pub services: Vec<ServiceCapacity>,
}

/// The state of an ejection permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EjectionState {
    /// Daemons whose copy of the permit record is confirmed exclude the target.
    Ejected,
    /// Daemons that have read the record with this state no longer exclude the
    /// target; it still counts as ejected.
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
    /// The time since the daemon first saw the permit in its present state.
    pub age_ms: u64,
    /// The time since the daemon last confirmed the permit record.
    pub confirmed_age_ms: u64,
}

/// The healthy targets and ejection permits of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// The service's name.
    #[serde(with = "text")]
    pub service: ServiceName,
    /// The minimum number of healthy targets that ejections must leave.
    pub floor: u32,
    /// The number of healthy targets.
    pub healthy: u32,
    /// The number of ejection permits in use.
    pub permits: u32,
}

/// The response body of `POST /v1/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainAnswer {
    /// The daemon's state after the call.
    pub state: HostState,
    /// The number of callers' requests in flight.
    pub in_flight: u32,
}
