//! Values and sections that several processes share.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use quick_error::quick_error;

use agatehold_core::units::ByteCount;
use agatehold_core::units::DurationMs;

use crate::document::Document;
use crate::document::SectionReader;
use crate::fault::Fault;
use crate::fault::SettingsError;

/// How long the platform may take to answer where the settings don't say.
const DEFAULT_PLATFORM_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// The longest duration that a setting takes: one hour.
///
/// A longer one is most likely given in another unit.
const DURATION_MAX_MS: DurationMs = DurationMs(3_600_000);

/// The smallest size that a limit takes: the shortest request head of a
/// browser is well below it.
const SIZE_MIN_BYTES: ByteCount = ByteCount(1_024);

/// The largest size that a limit takes: half of the memory that the control
/// work of a daemon may use.
const SIZE_MAX_BYTES: ByteCount = ByteCount(128 * 1_024 * 1_024);

quick_error! {
    /// A text that is not a value of the setting.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ParseValueError {
        /// The text lies outside the values of the setting.
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

/// Where the platform is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address of the platform.
    pub address: SocketAddr,
    /// How long the platform may take to answer.
    pub timeout_ms: DurationMs,
}

/// Reads `[platform]`.
pub(super) fn read_platform(
    document: &Document,
    errors: &mut Vec<SettingsError>,
) -> Option<PlatformSettings> {
    let mut reader = SectionReader::open(document, "platform", errors);
    let address = reader.required("address", parse_remote);
    let timeout_ms = reader.optional("timeout_ms", parse_duration);
    reader.close(None);
    Some(PlatformSettings {
        address: address?,
        timeout_ms: timeout_ms.unwrap_or(DEFAULT_PLATFORM_TIMEOUT_MS),
    })
}

/// Reports the sections whose names are not in `expected`.
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
            fault: Fault::UnknownSection(expected.join(", ").into()),
        });
    }
}

/// Parses an address to bind; port 0 lets the system choose one.
pub(super) fn parse_local(text: &str) -> Result<SocketAddr, ParseValueError> {
    text.parse()
        .map_err(|_| ParseValueError::Expected("IP:port"))
}

/// Parses an address to bind that others connect to as it is written.
pub(super) fn parse_announced(text: &str) -> Result<SocketAddr, ParseValueError> {
    let expected = ParseValueError::Expected("IP:port with an address that others can connect to");
    let address: SocketAddr = text.parse().map_err(|_| expected)?;
    if address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(expected);
    }
    Ok(address)
}

/// Parses the address of another process.
pub(super) fn parse_remote(text: &str) -> Result<SocketAddr, ParseValueError> {
    let expected = ParseValueError::Expected("IP:port of another process");
    let address: SocketAddr = text.parse().map_err(|_| expected)?;
    if address.ip().is_unspecified() || address.ip().is_multicast() || address.port() == 0 {
        return Err(expected);
    }
    Ok(address)
}

/// Parses a duration of at least 1 ms.
pub(super) fn parse_duration(text: &str) -> Result<DurationMs, ParseValueError> {
    match text.parse() {
        Ok(duration) if duration > DurationMs(0) && duration <= DURATION_MAX_MS => Ok(duration),
        _ => Err(ParseValueError::Expected("milliseconds from 1 to 3600000")),
    }
}

/// Parses the limit of a size.
pub(super) fn parse_size(text: &str) -> Result<ByteCount, ParseValueError> {
    match text.parse() {
        Ok(size) if (SIZE_MIN_BYTES..=SIZE_MAX_BYTES).contains(&size) => Ok(size),
        _ => Err(ParseValueError::Expected("bytes from 1024 to 134217728")),
    }
}
