//! Value parsers and sections that the settings of several processes share.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use quick_error::quick_error;

use agatehold_core::units::ByteCount;
use agatehold_core::units::DurationMs;

use crate::document::Document;
use crate::document::SectionReader;
use crate::error::SettingsError;
use crate::error::SettingsErrorKind;

/// The default timeout of a request to the platform.
const DEFAULT_PLATFORM_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// The maximum duration in a setting: one hour.
///
/// A longer value is most likely meant in a unit other than milliseconds.
const DURATION_MAX_MS: DurationMs = DurationMs(3_600_000);

/// The minimum of a size limit. The shortest request heads of browsers are well below
/// it.
const SIZE_MIN_BYTES: ByteCount = ByteCount(1_024);

/// The maximum of a size limit: half of the memory that a daemon may use for its
/// control plane.
const SIZE_MAX_BYTES: ByteCount = ByteCount(128 * 1_024 * 1_024);

quick_error! {
    /// An error while parsing the value of a setting.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ParseValueError {
        /// The text is not a valid value; `expected` describes the valid ones.
        Expected(expected: &'static str) {
            display("expected {}", expected)
        }
    }
}

macro_rules! count_type {
    ($(#[$doc:meta])* $name:ident, $max:literal, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub u32);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text.parse() {
                    Ok(count) if (1..=$max).contains(&count) => Ok(Self(count)),
                    _ => Err(ParseValueError::Expected($expected)),
                }
            }
        }
    };
}

count_type! {
    /// A number of threads.
    ThreadCount, 64, "a number of threads from 1 to 64"
}

count_type! {
    /// A number of connections.
    ConnectionCount, 1_000_000, "a number of connections from 1 to 1000000"
}

/// How to reach the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address of the platform.
    pub address: SocketAddr,
    /// The timeout of a request to the platform.
    pub timeout_ms: DurationMs,
}

/// Reads the section `[platform]`.
pub(super) fn read_platform(
    document: &Document,
    errors: &mut Vec<SettingsError>,
) -> Option<PlatformSettings> {
    let mut reader = SectionReader::open(document, "platform", errors);
    let address = reader.required("address", parse_remote_address);
    let timeout_ms = reader.optional("timeout_ms", parse_duration);
    reader.report_unknown_keys(None);
    Some(PlatformSettings {
        address: address?,
        timeout_ms: timeout_ms.unwrap_or(DEFAULT_PLATFORM_TIMEOUT_MS),
    })
}

/// Reports every section whose name is not in `expected`.
pub(super) fn check_sections(
    document: &Document,
    expected: &[&str],
    errors: &mut Vec<SettingsError>,
) {
    for section in &document.sections {
        if expected.contains(&&*section.name) {
            continue;
        }
        errors.push(SettingsError {
            file: document.file.clone(),
            line: section.line,
            section: section.name.clone(),
            key: None,
            value: None,
            kind: SettingsErrorKind::UnknownSection(expected.join(", ").into()),
        });
    }
}

/// Parses an address to bind; with port 0 the operating system assigns the port.
pub(super) fn parse_bind_address(text: &str) -> Result<SocketAddr, ParseValueError> {
    text.parse()
        .map_err(|_| ParseValueError::Expected("IP:port"))
}

/// Parses an address to bind that is also advertised: other processes connect to it
/// exactly as it is written. Port 0 is accepted.
pub(super) fn parse_advertised_address(text: &str) -> Result<SocketAddr, ParseValueError> {
    let expected = ParseValueError::Expected("IP:port with an address that others can connect to");
    let address: SocketAddr = text.parse().map_err(|_| expected)?;
    if address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(expected);
    }
    Ok(address)
}

/// Parses the address of another process, with a port other than 0.
pub(super) fn parse_remote_address(text: &str) -> Result<SocketAddr, ParseValueError> {
    let expected = ParseValueError::Expected("IP:port of another process");
    let address: SocketAddr = text.parse().map_err(|_| expected)?;
    if address.ip().is_unspecified() || address.ip().is_multicast() || address.port() == 0 {
        return Err(expected);
    }
    Ok(address)
}

/// Parses a duration in milliseconds, from 1 to [`DURATION_MAX_MS`].
pub(super) fn parse_duration(text: &str) -> Result<DurationMs, ParseValueError> {
    match text.parse() {
        Ok(duration) if duration > DurationMs(0) && duration <= DURATION_MAX_MS => Ok(duration),
        _ => Err(ParseValueError::Expected("milliseconds from 1 to 3600000")),
    }
}

/// Parses a size limit in bytes, from [`SIZE_MIN_BYTES`] to [`SIZE_MAX_BYTES`].
pub(super) fn parse_size(text: &str) -> Result<ByteCount, ParseValueError> {
    match text.parse() {
        Ok(size) if (SIZE_MIN_BYTES..=SIZE_MAX_BYTES).contains(&size) => Ok(size),
        _ => Err(ParseValueError::Expected("bytes from 1024 to 134217728")),
    }
}
