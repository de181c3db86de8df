//! The settings of a daemon in gateway mode, which takes its whole configuration from
//! the platform.

use std::net::SocketAddr;

use agatehold_core::directory::EntryPolicy;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;

use crate::document::SectionReader;
use crate::document::parse_document;
use crate::error::SettingsError;
use crate::error::sort_errors;

use super::HostSettings;
use super::LogLevel;
use super::values::ParseValueError;
use super::values::check_sections;
use super::values::parse_advertised_address;
use super::values::parse_remote_address;

/// The section names that the settings file may contain.
const SECTIONS: &[&str] = &["host", "listen", "platform", "entries", "dispatch", "log"];

/// The millicores (thousandths of a processor core) that the requests of one Mbit/s
/// need. A request transfers about 12 kB on the link and takes 0.5 ms of a core.
const MILLICORES_PER_MBPS: f64 = 5.0;

/// The settings of a daemon in gateway mode.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The host that the daemon runs on.
    pub host: HostSettings,
    /// The request load that the host can carry, in thousandths of a processor core:
    /// the lower of the limits that its cores and its link set.
    pub capacity_millicores: u32,
    /// The memory of the host in MB; `None` if the platform does not tell.
    pub memory_mb: Option<u32>,
    /// The addresses that the daemon binds.
    pub listen: GatewayListen,
    /// The address of the platform's key-value store.
    pub store: SocketAddr,
    /// The control addresses of a few other daemons (seed nodes), which may be out of
    /// date.
    pub seeds: Vec<SocketAddr>,
    /// The limits of the deployment as a JSON object in the platform's format, which
    /// `agatehold_platform::parse_bounds` parses; empty if none are set.
    pub bounds: Box<str>,
    /// How many entry daemons each group of callers is given.
    pub entries: EntryPolicy,
    /// Whether targets are chosen by the expected cost of requests instead of by their
    /// number.
    pub expected_cost: bool,
    /// The lowest severity that is logged.
    pub log: LogLevel,
}

/// The addresses that a daemon in gateway mode binds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// The address at which callers send requests.
    pub callers: SocketAddr,
    /// The address at which the platform checks the daemon's readiness.
    pub readiness: SocketAddr,
    /// The address at which callers fetch the addresses to use.
    pub directory: SocketAddr,
    /// The address at which starting daemons fetch contents of the store.
    pub control: SocketAddr,
    /// The address to which other daemons send heartbeats, and at which they fetch
    /// contents of the store.
    pub news: SocketAddr,
    /// The address to which other daemons send evidence about targets.
    pub evidence: SocketAddr,
    /// The address at which metrics are read.
    pub metrics: SocketAddr,
}

/// Returns the host for a name that the platform has chosen.
fn parse_host(text: &str) -> Result<HostId, ParseValueError> {
    Ok(HostId::external(text))
}

/// Returns the failure domain for a name that the platform has chosen.
fn parse_failure_domain(text: &str) -> Result<FailureDomain, ParseValueError> {
    Ok(FailureDomain::external(text))
}

/// Parses the settings of a daemon in gateway mode, or returns every error in them.
pub fn parse_gateway(file: &str, text: &str) -> Result<GatewaySettings, Vec<SettingsError>> {
    let mut errors = Vec::new();
    let document = parse_document(file, text, &mut errors);
    check_sections(&document, SECTIONS, &mut errors);

    let mut reader = SectionReader::open(&document, "host", &mut errors);
    let id = reader.required("id", parse_host);
    let failure_domain = reader.required("failure_domain", parse_failure_domain);
    let core_millicores = reader.required("cores", parse_millicores);
    let link_millicores = reader.optional("link_mbps", parse_link_millicores);
    let memory_mb = reader.optional("memory_mb", parse_memory);
    reader.report_unknown_keys(None);

    let mut reader = SectionReader::open(&document, "listen", &mut errors);
    let callers = reader.required("callers", parse_advertised_address);
    let readiness = reader.required("readiness", parse_advertised_address);
    let directory = reader.required("directory", parse_advertised_address);
    let control = reader.required("control", parse_advertised_address);
    let news = reader.required("news", parse_advertised_address);
    let evidence = reader.required("evidence", parse_advertised_address);
    let metrics = reader.required("metrics", parse_advertised_address);
    reader.report_unknown_keys(None);

    let mut reader = SectionReader::open(&document, "platform", &mut errors);
    let store = reader.required("store", parse_remote_address);
    let seeds = reader.optional("seeds", parse_seeds);
    let bounds = reader.optional("bounds", parse_text);
    reader.report_unknown_keys(None);

    let mut reader = SectionReader::open(&document, "entries", &mut errors);
    let least = reader.required("least", parse_daemon_count);
    let slots_per_core = reader.required("slots_per_core", parse_slot_count);
    reader.report_unknown_keys(None);

    let mut reader = SectionReader::open(&document, "dispatch", &mut errors);
    let expected_cost = reader.optional("expected_cost", parse_true_false);
    reader.report_unknown_keys(None);

    let mut reader = SectionReader::open(&document, "log", &mut errors);
    let log = reader.optional("level", str::parse);
    reader.report_unknown_keys(None);

    let settings = (|| {
        Some(GatewaySettings {
            host: HostSettings {
                id: id?,
                failure_domain: failure_domain?,
            },
            capacity_millicores: core_millicores?.min(link_millicores.unwrap_or(u32::MAX)),
            memory_mb,
            listen: GatewayListen {
                callers: callers?,
                readiness: readiness?,
                directory: directory?,
                control: control?,
                news: news?,
                evidence: evidence?,
                metrics: metrics?,
            },
            store: store?,
            seeds: seeds.unwrap_or_default(),
            bounds: bounds.unwrap_or_default(),
            entries: EntryPolicy {
                least: least?,
                slots_per_core: slots_per_core?,
            },
            expected_cost: expected_cost.unwrap_or(false),
            log: log.unwrap_or_default(),
        })
    })();
    match settings {
        Some(settings) if errors.is_empty() => Ok(settings),
        _ => {
            sort_errors(&mut errors);
            Err(errors)
        }
    }
}

/// Parses addresses separated by commas; an empty text gives an empty list.
fn parse_seeds(text: &str) -> Result<Vec<SocketAddr>, ParseValueError> {
    let mut seeds = Vec::new();
    for part in text.split(',') {
        let part = part.trim();
        if part.is_empty() {
            continue;
        }
        seeds.push(parse_remote_address(part)?);
    }
    Ok(seeds)
}

fn parse_text(text: &str) -> Result<Box<str>, ParseValueError> {
    Ok(text.into())
}

fn parse_true_false(text: &str) -> Result<bool, ParseValueError> {
    match text {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(ParseValueError::Expected("true or false")),
    }
}

/// Parses a number of cores such as `0.2`, or a share of several cores such as
/// `0.2 x 4`, and returns the product in thousandths of a core.
fn parse_millicores(text: &str) -> Result<u32, ParseValueError> {
    let error =
        ParseValueError::Expected("cores such as 0.2, or a share of several such as 0.2 x 4");
    let mut product = 1.0;
    for factor in text.split('x') {
        let factor: f64 = factor.trim().parse().map_err(|_| error)?;
        product *= factor;
    }
    let millicores = product * 1_000.0;
    if !(1.0..=1_000_000.0).contains(&millicores) {
        return Err(error);
    }
    Ok(millicores.round() as u32)
}

/// Parses the bandwidth of the host's link in Mbit/s, and returns the thousandths of
/// a core that the requests on a link of this bandwidth need.
fn parse_link_millicores(text: &str) -> Result<u32, ParseValueError> {
    match text.parse::<f64>() {
        Ok(mbps) if mbps > 0.0 && mbps.is_finite() => {
            Ok((mbps * MILLICORES_PER_MBPS).clamp(1.0, 1e6) as u32)
        }
        _ => Err(ParseValueError::Expected("a bandwidth in Mbit/s above 0")),
    }
}

/// Parses the memory of the host, which may have a fraction, in whole MB.
fn parse_memory(text: &str) -> Result<u32, ParseValueError> {
    match text.parse::<f64>() {
        Ok(memory_mb) if (64.0..=1e6).contains(&memory_mb) => Ok(memory_mb as u32),
        _ => Err(ParseValueError::Expected(
            "a number of megabytes from 64 to 1000000",
        )),
    }
}

fn parse_slot_count(text: &str) -> Result<u32, ParseValueError> {
    match text.parse() {
        Ok(slots) if (1..=10_000).contains(&slots) => Ok(slots),
        _ => Err(ParseValueError::Expected(
            "a number of slots from 1 to 10000",
        )),
    }
}

fn parse_daemon_count(text: &str) -> Result<u32, ParseValueError> {
    match text.parse() {
        Ok(count) if (1..=64).contains(&count) => Ok(count),
        _ => Err(ParseValueError::Expected(
            "a number of daemons from 1 to 64",
        )),
    }
}
