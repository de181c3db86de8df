//! Checks of single fields.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;

use quick_error::quick_error;

use agatehold_core::ids::Digest;
use agatehold_core::ids::NoteId;
use agatehold_core::units::DurationMs;

use crate::generated;

quick_error! {
    /// Why the body of a message is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum PeerMessageError {
        /// The body is not a protobuf message of the expected kind.
        Malformed {
            display("the body is not a message of the expected kind")
        }
        /// A field is missing or has a value outside its range.
        Field(name: &'static str) {
            display("the field {} is missing or invalid", name)
        }
        /// A list is longer than allowed.
        TooMany(name: &'static str) {
            display("the field {} has too many entries", name)
        }
    }
}

/// Parses a name; `field` is the one to blame.
pub(super) fn name<T: FromStr>(text: &str, field: &'static str) -> Result<T, PeerMessageError> {
    text.parse().map_err(|_| PeerMessageError::Field(field))
}

/// Returns a message field that must be present.
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

/// The longest age that is taken; a month, past which every rule that uses an
/// age has expired.
const AGE_MAX: DurationMs = DurationMs(31 * 24 * 3_600 * 1_000);

/// Returns an age, at most [`AGE_MAX`].
pub(super) fn age(ms: u64) -> DurationMs {
    DurationMs(ms).min(AGE_MAX)
}

/// Parses an address.
pub(super) fn address(
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

/// Encodes an address.
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

/// Refuses a list that is longer than `limit`.
pub(super) fn at_most<T>(
    list: &[T],
    limit: usize,
    field: &'static str,
) -> Result<(), PeerMessageError> {
    if list.len() > limit {
        return Err(PeerMessageError::TooMany(field));
    }
    Ok(())
}
