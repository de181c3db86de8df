//! The settings of a daemon that takes its configuration whole from a
//! platform.

use std::net::SocketAddr;

use agatehold_core::directory::EntryPolicy;

use crate::document::SectionReader;
use crate::document::parse_document;
use crate::fault::SettingsError;
use crate::fault::sort_errors;

use super::HostSettings;
use super::LogLevel;
use super::values::ParseValueError;
use super::values::check_sections;
use super::values::parse_announced;
use super::values::parse_remote;

/// The sections of the file.
const SECTIONS: &[&str] = &["host", "listen", "platform", "entries", "log"];

/// The thousandths of a core that the requests of one Mbit/s take: about 12 kB
/// each on the link and 0.5 ms of a core.
const MILLICORES_PER_MBPS: f64 = 5.0;

/// The settings of a daemon on a platform.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The host that the daemon runs on.
    pub host: HostSettings,
    /// The share of the fleet's work that the host can carry, in thousandths
    /// of a processor core.
    pub capacity_millicores: u32,
    /// The addresses that the daemon binds.
    pub listen: GatewayListen,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// The control addresses of a few daemons, which may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// The bounds of the deployment in the platform's words.
    pub bounds: Box<str>,
    /// How many daemons callers are given.
    pub entries: EntryPolicy,
    /// The least severe messages that are logged.
    pub log: LogLevel,
}

/// The addresses that a daemon on a platform binds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the daemon serves.
    pub readiness: SocketAddr,
    /// Where callers ask which addresses to use.
    pub directory: SocketAddr,
    /// Where daemons that start fetch contents of the store.
    pub control: SocketAddr,
    /// Where other daemons send their beats and fetch contents of the store.
    pub news: SocketAddr,
    /// Where other daemons send evidence about targets.
    pub evidence: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
}

/// Parses the settings, or returns every error in them.
pub fn parse_gateway(file: &str, text: &str) -> Result<GatewaySettings, Vec<SettingsError>> {
    let mut errors = Vec::new();
    let document = parse_document(file, text, &mut errors);
    check_sections(&document, SECTIONS, &mut errors);

    let mut reader = SectionReader::open(&document, "host", &mut errors);
    let id = reader.required("id", str::parse);
    let failure_domain = reader.required("failure_domain", str::parse);
    let core_millicores = reader.required("cores", parse_millicores);
    let link_millicores = reader.optional("link_mbps", parse_link);
    reader.close(None);

    let mut reader = SectionReader::open(&document, "listen", &mut errors);
    let callers = reader.required("callers", parse_announced);
    let readiness = reader.required("readiness", parse_announced);
    let directory = reader.required("directory", parse_announced);
    let control = reader.required("control", parse_announced);
    let news = reader.required("news", parse_announced);
    let evidence = reader.required("evidence", parse_announced);
    let metrics = reader.required("metrics", parse_announced);
    reader.close(None);

    let mut reader = SectionReader::open(&document, "platform", &mut errors);
    let store = reader.required("store", parse_remote);
    let seeds = reader.optional("seeds", parse_seeds);
    let bounds = reader.optional("bounds", parse_text);
    reader.close(None);

    let mut reader = SectionReader::open(&document, "entries", &mut errors);
    let least = reader.required("least", parse_entries);
    let slots_per_core = reader.required("slots_per_core", parse_slots);
    reader.close(None);

    let mut reader = SectionReader::open(&document, "log", &mut errors);
    let log = reader.optional("level", str::parse);
    reader.close(None);

    let settings = (|| {
        Some(GatewaySettings {
            host: HostSettings {
                id: id?,
                failure_domain: failure_domain?,
            },
            capacity_millicores: core_millicores?.min(link_millicores.unwrap_or(u32::MAX)),
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

/// Parses addresses joined by commas; an empty text has none.
fn parse_seeds(text: &str) -> Result<Vec<SocketAddr>, ParseValueError> {
    let mut seeds = Vec::new();
    for part in text.split(',') {
        let part = part.trim();
        if part.is_empty() {
            continue;
        }
        seeds.push(parse_remote(part)?);
    }
    Ok(seeds)
}

fn parse_text(text: &str) -> Result<Box<str>, ParseValueError> {
    Ok(text.into())
}

/// Parses a number of cores such as `0.2` or, for a share of several,
/// `0.2 x 4`.
fn parse_millicores(text: &str) -> Result<u32, ParseValueError> {
    let error =
        ParseValueError::Expected("cores such as 0.2, or a share and cores such as 0.2 x 4");
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

/// Parses the bandwidth of the host's link in Mbit/s, as the thousandths of a
/// core whose requests it can carry.
fn parse_link(text: &str) -> Result<u32, ParseValueError> {
    match text.parse::<f64>() {
        Ok(mbps) if mbps > 0.0 && mbps.is_finite() => {
            Ok((mbps * MILLICORES_PER_MBPS).clamp(1.0, 1e6) as u32)
        }
        _ => Err(ParseValueError::Expected("Mbit/s above 0")),
    }
}

fn parse_slots(text: &str) -> Result<u32, ParseValueError> {
    match text.parse() {
        Ok(slots) if (1..=10_000).contains(&slots) => Ok(slots),
        _ => Err(ParseValueError::Expected("slots from 1 to 10000")),
    }
}

fn parse_entries(text: &str) -> Result<u32, ParseValueError> {
    match text.parse() {
        Ok(count) if (1..=64).contains(&count) => Ok(count),
        _ => Err(ParseValueError::Expected("daemons from 1 to 64")),
    }
}
