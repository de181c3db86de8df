//! The settings of the daemon.

use std::collections::BTreeMap;
use std::fmt;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::str::FromStr;

use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::table::Table;
use agatehold_core::units::ByteCount;
use agatehold_core::units::DurationMs;

use crate::document::Document;
use crate::document::Entry;
use crate::document::SectionReader;
use crate::document::parse_document;
use crate::document::value_error;
use crate::error::SettingsError;
use crate::error::sort_errors;
use crate::secret::Secret;

use super::ConnectionCount;
use super::PlatformSettings;
use super::ThreadCount;
use super::values::ParseValueError;
use super::values::check_sections;
use super::values::parse_advertised_address;
use super::values::parse_bind_address;
use super::values::parse_duration;
use super::values::parse_remote_address;
use super::values::parse_size;
use super::values::read_platform;

/// The section names that the settings file may contain.
const SECTIONS: &[&str] = &[
    "host", "listen", "platform", "peers", "admin", "limits", "log",
];

/// The default address of the admin server.
const DEFAULT_ADMIN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7902);

/// The prefix of the keys in `[peers]` that list known hosts; the host id follows.
const HOST_PREFIX: &str = "host.";

/// The settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// The host that the daemon runs on.
    pub host: HostSettings,
    /// The addresses that the daemon binds.
    pub listen: ListenSettings,
    /// How to reach the platform.
    pub platform: PlatformSettings,
    /// How to reach other daemons.
    pub peers: PeerSettings,
    /// Settings of the admin API.
    pub admin: AdminSettings,
    /// Limits on threads, sizes, times and connections.
    pub limits: LimitSettings,
    /// The lowest severity that is logged.
    pub log: LogLevel,
}

/// The host that a daemon runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// The host's id, unique in the fleet.
    pub id: HostId,
    /// The group of hosts that may fail together with this one.
    pub failure_domain: FailureDomain,
}

/// The addresses that a daemon binds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// The address at which callers connect.
    pub callers: SocketAddr,
    /// The address at which other daemons connect.
    pub peers: SocketAddr,
    /// The address at which operators connect to the admin API.
    pub admin: SocketAddr,
}

/// How to reach other daemons.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// The shared secret that authenticates the messages between daemons.
    pub secret: Secret,
    /// The hosts that are known from the settings; no two share an address.
    pub hosts: Table<HostId, KnownHost>,
}

/// A host that is known from the settings, before any message from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownHost {
    /// The group of hosts that may fail together with the host.
    pub failure_domain: FailureDomain,
    /// The address at which daemons connect to the host.
    pub peers: SocketAddr,
    /// The address at which callers connect to the host.
    pub callers: SocketAddr,
}

/// Settings of the admin API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminSettings {
    /// The token that requests which change something must carry.
    pub token: Secret,
}

/// Limits on threads, sizes, times and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// The number of threads that handle callers' requests.
    pub traffic_threads: ThreadCount,
    /// The maximum size of a request head.
    pub head_bytes: ByteCount,
    /// The maximum size of a request body.
    pub body_bytes: ByteCount,
    /// The maximum size of a target's response that is buffered in full before it is
    /// forwarded.
    pub answer_bytes: ByteCount,
    /// The time limit for receiving a request head.
    pub head_timeout_ms: DurationMs,
    /// The time limit for receiving a request body.
    pub body_timeout_ms: DurationMs,
    /// The maximum number of connections from callers.
    pub caller_connections: ConnectionCount,
    /// How long callers may keep the addresses that they fetched. A stopping daemon
    /// keeps serving for at least this time.
    pub address_ttl_ms: DurationMs,
    /// A stopping daemon may close its listener once no caller has connected for
    /// this time.
    pub quiet_ms: DurationMs,
    /// The time limit of a planned stop, after which the remaining requests are
    /// aborted.
    pub stop_limit_ms: DurationMs,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            traffic_threads: ThreadCount(2),
            head_bytes: ByteCount(16_384),
            body_bytes: ByteCount(1_048_576),
            answer_bytes: ByteCount(1_048_576),
            head_timeout_ms: DurationMs(5_000),
            body_timeout_ms: DurationMs(10_000),
            caller_connections: ConnectionCount(4_096),
            address_ttl_ms: DurationMs(30_000),
            quiet_ms: DurationMs(2_000),
            stop_limit_ms: DurationMs(60_000),
        }
    }
}

/// The severity of log messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors that end the process.
    Error,
    /// Errors after which the process continues.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        })
    }
}

impl FromStr for LogLevel {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(ParseValueError::Expected("error, warn, info or debug")),
        }
    }
}

/// Parses the settings of a daemon, or returns every error in them.
pub fn parse_daemon(file: &str, text: &str) -> Result<DaemonSettings, Vec<SettingsError>> {
    let mut errors = Vec::new();
    let document = parse_document(file, text, &mut errors);
    check_sections(&document, SECTIONS, &mut errors);
    let settings = read_daemon(&document, &mut errors);
    match settings {
        Some(settings) if errors.is_empty() => Ok(settings),
        _ => {
            sort_errors(&mut errors);
            Err(errors)
        }
    }
}

fn read_daemon(document: &Document, errors: &mut Vec<SettingsError>) -> Option<DaemonSettings> {
    let host = read_host(document, errors);
    let listen = read_listen(document, errors);
    let platform = read_platform(document, errors);
    let peers = read_peers(document, host.as_ref(), errors);
    let admin = read_admin(document, errors);
    let limits = read_limits(document, errors);
    let log = read_log(document, errors);
    Some(DaemonSettings {
        host: host?,
        listen: listen?,
        platform: platform?,
        peers: peers?,
        admin: admin?,
        limits,
        log,
    })
}

fn read_host(document: &Document, errors: &mut Vec<SettingsError>) -> Option<HostSettings> {
    let mut reader = SectionReader::open(document, "host", errors);
    let id = reader.required("id", str::parse);
    let failure_domain = reader.required("failure_domain", str::parse);
    reader.report_unknown_keys(None);
    Some(HostSettings {
        id: id?,
        failure_domain: failure_domain?,
    })
}

fn read_listen(document: &Document, errors: &mut Vec<SettingsError>) -> Option<ListenSettings> {
    let mut reader = SectionReader::open(document, "listen", errors);
    let callers = reader.required("callers", parse_advertised_address);
    let peers = reader.required("peers", |text| {
        let address = parse_advertised_address(text)?;
        if address.port() != 0 && Some(address) == callers {
            return Err(ParseValueError::Expected("an address other than callers"));
        }
        Ok(address)
    });
    let admin = reader.optional("admin", |text| {
        let address = parse_bind_address(text)?;
        if address.port() != 0 && (Some(address) == callers || Some(address) == peers) {
            let expected = "an address other than callers and peers";
            return Err(ParseValueError::Expected(expected));
        }
        Ok(address)
    });
    reader.report_unknown_keys(None);
    Some(ListenSettings {
        callers: callers?,
        peers: peers?,
        admin: admin.unwrap_or(DEFAULT_ADMIN),
    })
}

fn read_peers(
    document: &Document,
    own: Option<&HostSettings>,
    errors: &mut Vec<SettingsError>,
) -> Option<PeerSettings> {
    let mut reader = SectionReader::open(document, "peers", errors);
    let secret = reader.secret("secret");
    reader.report_unknown_keys(Some(HOST_PREFIX));
    let hosts = read_known_hosts(document, own, errors);
    Some(PeerSettings {
        secret: secret?,
        hosts,
    })
}

fn read_known_hosts(
    document: &Document,
    own: Option<&HostSettings>,
    errors: &mut Vec<SettingsError>,
) -> Table<HostId, KnownHost> {
    let mut hosts = Table::new();
    let mut addresses = BTreeMap::new();
    let Some(section) = document.section("peers") else {
        return hosts;
    };
    for entry in &section.entries {
        let Some(name) = entry.key.strip_prefix(HOST_PREFIX) else {
            continue;
        };
        match read_known_host(name, entry, own, &mut addresses) {
            Ok((id, host)) => {
                hosts.insert(id, host);
            }
            Err(expected) => {
                errors.push(value_error(&document.file, &section.name, entry, expected));
            }
        }
    }
    hosts
}

fn read_known_host(
    name: &str,
    entry: &Entry,
    own: Option<&HostSettings>,
    addresses: &mut BTreeMap<SocketAddr, HostId>,
) -> Result<(HostId, KnownHost), String> {
    let id: HostId = name
        .parse()
        .map_err(|error| format!("the host id in the key is invalid: {error}"))?;
    let fields: Vec<&str> = entry.value.split_whitespace().collect();
    let [domain, peers, callers] = fields[..] else {
        return Err("expected FAILURE-DOMAIN PEERS-IP:PORT CALLERS-IP:PORT".to_owned());
    };
    let host = KnownHost {
        failure_domain: domain
            .parse()
            .map_err(|error| format!("the failure domain is invalid: {error}"))?,
        peers: parse_remote_address(peers)
            .map_err(|error| format!("the address for daemons is invalid: {error}"))?,
        callers: parse_remote_address(callers)
            .map_err(|error| format!("the address for callers is invalid: {error}"))?,
    };
    for address in [host.peers, host.callers] {
        if let Some(other) = addresses.insert(address, id.clone()) {
            return Err(format!(
                "expected each address once, but {address} belongs to host.{other}"
            ));
        }
    }
    if let Some(own) = own
        && own.id == id
        && own.failure_domain != host.failure_domain
    {
        return Err(format!(
            "expected the same failure domain as in [host], {}",
            own.failure_domain
        ));
    }
    Ok((id, host))
}

fn read_admin(document: &Document, errors: &mut Vec<SettingsError>) -> Option<AdminSettings> {
    let mut reader = SectionReader::open(document, "admin", errors);
    let token = reader.secret("token");
    reader.report_unknown_keys(None);
    Some(AdminSettings { token: token? })
}

fn read_limits(document: &Document, errors: &mut Vec<SettingsError>) -> LimitSettings {
    let defaults = LimitSettings::default();
    let mut reader = SectionReader::open(document, "limits", errors);
    let limits = LimitSettings {
        traffic_threads: reader.optional_or(
            "traffic_threads",
            str::parse,
            defaults.traffic_threads,
        ),
        head_bytes: reader.optional_or("head_bytes", parse_size, defaults.head_bytes),
        body_bytes: reader.optional_or("body_bytes", parse_size, defaults.body_bytes),
        answer_bytes: reader.optional_or("answer_bytes", parse_size, defaults.answer_bytes),
        head_timeout_ms: reader.optional_or(
            "head_timeout_ms",
            parse_duration,
            defaults.head_timeout_ms,
        ),
        body_timeout_ms: reader.optional_or(
            "body_timeout_ms",
            parse_duration,
            defaults.body_timeout_ms,
        ),
        caller_connections: reader.optional_or(
            "caller_connections",
            str::parse,
            defaults.caller_connections,
        ),
        address_ttl_ms: reader.optional_or(
            "address_ttl_ms",
            parse_duration,
            defaults.address_ttl_ms,
        ),
        quiet_ms: reader.optional_or("quiet_ms", parse_duration, defaults.quiet_ms),
        stop_limit_ms: reader.optional_or("stop_limit_ms", parse_duration, defaults.stop_limit_ms),
    };
    reader.report_unknown_keys(None);
    limits
}

fn read_log(document: &Document, errors: &mut Vec<SettingsError>) -> LogLevel {
    let mut reader = SectionReader::open(document, "log", errors);
    let level = reader.optional("level", str::parse);
    reader.report_unknown_keys(None);
    level.unwrap_or_default()
}
