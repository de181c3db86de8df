//! The settings of `agateholdctl`.

use std::net::SocketAddr;

use crate::document::Document;
use crate::document::SectionReader;
use crate::document::parse_document;
use crate::fault::SettingsError;
use crate::fault::sort_errors;
use crate::secret::Secret;

use super::PlatformSettings;
use super::values::ParseValueError;
use super::values::check_sections;
use super::values::parse_remote;
use super::values::read_platform;

/// The sections of the file.
const SECTIONS: &[&str] = &["platform", "fleet"];

/// The longest author in characters, so that a line of the history fits.
const AUTHOR_MAX_CHARS: usize = 128;

/// The settings of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// The daemons that the operator looks after.
    pub fleet: FleetSettings,
}

/// How to reach the daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// The admin addresses of the daemons; at least one, none twice.
    pub admin: Vec<SocketAddr>,
    /// The token that changes need.
    pub token: Secret,
    /// Who releases notes that don't name an author.
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
    reader.close(None);
    Some(FleetSettings {
        admin: admin?,
        token: token?,
        author: author?,
    })
}

fn parse_admin(text: &str) -> Result<Vec<SocketAddr>, ParseValueError> {
    let mut addresses = Vec::new();
    for part in text.split(',') {
        let address = parse_remote(part.trim())
            .map_err(|_| ParseValueError::Expected("IP:port, IP:port, ... of daemons"))?;
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
