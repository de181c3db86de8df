//! The settings of `agateholdctl`.

use std::net::SocketAddr;

use crate::document::Document;
use crate::document::SectionReader;
use crate::document::parse_document;
use crate::error::SettingsError;
use crate::error::sort_errors;
use crate::secret::Secret;

use super::PlatformSettings;
use super::values::ParseValueError;
use super::values::check_sections;
use super::values::parse_remote_address;
use super::values::read_platform;

/// The section names that the settings file may contain.
const SECTIONS: &[&str] = &["platform", "fleet"];

/// The maximum length of an author's name in characters, so that a line of the
/// release history is not too long.
const AUTHOR_MAX_CHARS: usize = 128;

/// The settings of `agateholdctl`, the operators' command-line tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// How to reach the platform.
    pub platform: PlatformSettings,
    /// How to reach the daemons.
    pub fleet: FleetSettings,
}

/// How to reach the daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// The admin addresses of the daemons; at least one, none twice.
    pub admin: Vec<SocketAddr>,
    /// The admin token, which requests that change something must carry.
    pub token: Secret,
    /// The author of release notes whose text names none.
    pub author: Box<str>,
}

/// Parses the settings of `agateholdctl`, or returns every error in them.
pub fn parse_operator(file: &str, text: &str) -> Result<OperatorSettings, Vec<SettingsError>> {
    let mut errors = Vec::new();
    let document = parse_document(file, text, &mut errors);
    check_sections(&document, SECTIONS, &mut errors);
    let platform = read_platform(&document, &mut errors);
    let fleet = read_fleet(&document, &mut errors);
    match (platform, fleet) {
        (Some(platform), Some(fleet)) if errors.is_empty() => {
            Ok(OperatorSettings { platform, fleet })
        }
        _ => {
            sort_errors(&mut errors);
            Err(errors)
        }
    }
}

fn read_fleet(document: &Document, errors: &mut Vec<SettingsError>) -> Option<FleetSettings> {
    let mut reader = SectionReader::open(document, "fleet", errors);
    let admin = reader.required("admin", parse_admin);
    let token = reader.secret("token");
    let author = reader.required("author", parse_author);
    reader.report_unknown_keys(None);
    Some(FleetSettings {
        admin: admin?,
        token: token?,
        author: author?,
    })
}

fn parse_admin(text: &str) -> Result<Vec<SocketAddr>, ParseValueError> {
    let mut addresses = Vec::new();
    for part in text.split(',') {
        let address = parse_remote_address(part.trim()).map_err(|_| {
            ParseValueError::Expected("admin addresses of daemons as IP:port, IP:port, ...")
        })?;
        if addresses.contains(&address) {
            return Err(ParseValueError::Expected("each address once"));
        }
        addresses.push(address);
    }
    Ok(addresses)
}

/// Parses the name of an author.
pub(crate) fn parse_author(text: &str) -> Result<Box<str>, ParseValueError> {
    if text.is_empty() || text.chars().count() > AUTHOR_MAX_CHARS {
        return Err(ParseValueError::Expected("a name of 1 to 128 characters"));
    }
    Ok(text.into())
}
