//! JSON encoding of the platform's host list, which names the hosts that run daemons
//! and targets.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TargetName;

use crate::json::text;

use super::PlatformCodecError;

/// The kind and name of a listed host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListedName {
    /// An entry host, which runs a daemon.
    Entry(HostId),
    /// A host that runs a target.
    Target(TargetName),
}

impl fmt::Display for ListedName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Entry(name) => write!(f, "entry {name}"),
            Self::Target(name) => write!(f, "target {name}"),
        }
    }
}

/// The state of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The host is in service.
    Live,
    /// The host is about to be removed and takes no new requests.
    Leaving,
}

/// One row of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostListRow {
    /// The kind and name of the host.
    pub name: ListedName,
    /// The address at which the daemon accepts callers, or at which the target
    /// accepts requests.
    pub address: SocketAddr,
    /// The failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Whether the host is in service.
    pub state: ListedState,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum KindJson {
    Entry,
    Target,
}

#[derive(Serialize, Deserialize)]
struct HostJson {
    name: Box<str>,
    kind: KindJson,
    address: SocketAddr,
    #[serde(with = "text")]
    failure_domain: FailureDomain,
    state: ListedState,
}

/// Decodes a host list; one invalid row makes the whole list an error.
pub fn decode_hosts(bytes: &[u8]) -> Result<Vec<HostListRow>, PlatformCodecError> {
    let invalid = |detail: String| PlatformCodecError::Body("a host list", detail.into());
    let listed: Vec<HostJson> =
        serde_json::from_slice(bytes).map_err(|error| invalid(error.to_string()))?;
    let mut rows = Vec::with_capacity(listed.len());
    for host in listed {
        let invalid_name = |error| invalid(format!("name {}: {error}", host.name));
        let name = match host.kind {
            KindJson::Entry => ListedName::Entry(host.name.parse().map_err(invalid_name)?),
            KindJson::Target => ListedName::Target(host.name.parse().map_err(invalid_name)?),
        };
        rows.push(HostListRow {
            name,
            address: host.address,
            failure_domain: host.failure_domain,
            state: host.state,
        });
    }
    Ok(rows)
}

/// Encodes a host list as JSON.
pub fn encode_hosts(rows: &[HostListRow]) -> Result<Vec<u8>, PlatformCodecError> {
    let mut listed = Vec::with_capacity(rows.len());
    for row in rows {
        let (kind, name) = match &row.name {
            ListedName::Entry(name) => (KindJson::Entry, name.as_str()),
            ListedName::Target(name) => (KindJson::Target, name.as_str()),
        };
        listed.push(HostJson {
            name: name.into(),
            kind,
            address: row.address,
            failure_domain: row.failure_domain.clone(),
            state: row.state,
        });
    }
    serde_json::to_vec(&listed)
        .map_err(|error| PlatformCodecError::Encode(error.to_string().into()))
}
