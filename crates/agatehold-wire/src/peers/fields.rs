//! Checks and conversions of single protobuf fields.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;

use quick_error::quick_error;

use agatehold_core::ids::Digest;
use agatehold_core::ids::NoteId;
use agatehold_core::units::DurationMs;

use crate::generated;

quick_error! {
    /// An error while decoding the body of a message.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum PeerMessageError {
        /// The body is not a valid protobuf message of the expected type.
        Malformed {
            display("the body is not a valid protobuf message of the expected type")
        }
        /// A field is missing or has a value outside its range.
        Field(name: &'static str) {
            display("the message field {} is missing or invalid", name)
        }
        /// A repeated field has more entries than allowed.
        TooMany(name: &'static str) {
            display("the message field {} has too many entries", name)
        }
    }
}

/// Parses a text field; the error names `field`.
pub(super) fn parse<T: FromStr>(text: &str, field: &'static str) -> Result<T, PeerMessageError> {
    text.parse().map_err(|_| PeerMessageError::Field(field))
}

/// Returns the value of a field that must be present.
pub(super) fn required<T>(value: Option<T>, field: &'static str) -> Result<T, PeerMessageError> {
    value.ok_or(PeerMessageError::Field(field))
}

/// Parses a SHA-256 hash.
pub(super) fn hash(bytes: &[u8], field: &'static str) -> Result<Digest, PeerMessageError> {
    let bytes = bytes.try_into();
    bytes
        .map(Digest)
        .map_err(|_| PeerMessageError::Field(field))
}

/// Parses a note id.
pub(super) fn note_id(bytes: &[u8], field: &'static str) -> Result<NoteId, PeerMessageError> {
    let bytes = bytes.try_into();
    bytes
        .map(NoteId)
        .map_err(|_| PeerMessageError::Field(field))
}

/// The maximum of a duration in a message: 31 days, longer than any time limit that
/// an age is compared with.
const DURATION_MAX_MS: DurationMs = DurationMs(31 * 24 * 3_600 * 1_000);

/// Returns a duration of `ms`, reduced to [`DURATION_MAX_MS`] if it is longer.
pub(super) fn clamp_duration(ms: u64) -> DurationMs {
    DurationMs(ms).min(DURATION_MAX_MS)
}

/// Decodes an IP address and a port other than 0.
pub(super) fn decode_address(
    address: &generated::Address,
    field: &'static str,
) -> Result<SocketAddr, PeerMessageError> {
    let error = PeerMessageError::Field(field);
    let ip = if let Ok(bytes) = <[u8; 4]>::try_from(address.ip.as_slice()) {
        IpAddr::from(bytes)
    } else if let Ok(bytes) = <[u8; 16]>::try_from(address.ip.as_slice()) {
        IpAddr::from(bytes)
    } else {
        return Err(error);
    };
    let port = u16::try_from(address.port).map_err(|_| error)?;
    if port == 0 {
        return Err(error);
    }
    Ok(SocketAddr::new(ip, port))
}

/// Encodes an IP address and port.
pub(super) fn encode_address(address: SocketAddr) -> generated::Address {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    generated::Address {
        ip,
        port: u32::from(address.port()),
    }
}

/// Returns an error if a repeated field has more than `limit` entries.
pub(super) fn check_length<T>(
    list: &[T],
    limit: usize,
    field: &'static str,
) -> Result<(), PeerMessageError> {
    if list.len() > limit {
        return Err(PeerMessageError::TooMany(field));
    }
    Ok(())
}
