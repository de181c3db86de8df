//! The settings of a daemon that takes its configuration whole from a
//! platform.

use std::net::SocketAddr;

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
    /// The bounds of the deployment in the platform's words.
    pub bounds: Box<str>,
    /// The number of entry daemons of a service.
    pub entries_per_service: u32,
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
    let capacity_millicores = reader.required("cores", parse_millicores);
    reader.close(None);

    let mut reader = SectionReader::open(&document, "listen", &mut errors);
    let callers = reader.required("callers", parse_announced);
    let readiness = reader.required("readiness", parse_announced);
    let directory = reader.required("directory", parse_announced);
    let news = reader.required("news", parse_announced);
    let evidence = reader.required("evidence", parse_announced);
    let metrics = reader.required("metrics", parse_announced);
    reader.close(None);

    let mut reader = SectionReader::open(&document, "platform", &mut errors);
    let store = reader.required("store", parse_remote);
    let bounds = reader.optional("bounds", parse_text);
    reader.close(None);

    let mut reader = SectionReader::open(&document, "entries", &mut errors);
    let entries_per_service = reader.required("per_service", parse_entries);
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
            capacity_millicores: capacity_millicores?,
            listen: GatewayListen {
                callers: callers?,
                readiness: readiness?,
                directory: directory?,
                news: news?,
                evidence: evidence?,
                metrics: metrics?,
            },
            store: store?,
            bounds: bounds.unwrap_or_default(),
            entries_per_service: entries_per_service?,
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

fn parse_text(text: &str) -> Result<Box<str>, ParseValueError> {
    Ok(text.into())
}

/// Parses a number of cores such as `0.2` or, for a share of several,
/// `0.2 x 4`.
fn parse_millicores(text: &str) -> Result<u32, ParseValueError> {
    let error = ParseValueError::Expected("cores such as 0.2, or a share and cores such as 0.2 x 4");
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

fn parse_entries(text: &str) -> Result<u32, ParseValueError> {
    match text.parse() {
        Ok(count) if (1..=64).contains(&count) => Ok(count),
        _ => Err(ParseValueError::Expected("daemons from 1 to 64")),
    }
}
