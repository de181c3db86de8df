//! Encoding and decoding of the messages between daemons.
//!
//! A message is a protobuf body in an authenticated envelope. Bodies are converted
//! to and from the structs of `agatehold-core`.

mod digest;
mod envelope;
mod fields;
mod notes;

pub use digest::decode_digest;
pub use digest::encode_digest;
pub use envelope::EnvelopeError;
pub use envelope::EnvelopeHeader;
pub use envelope::Method;
pub use envelope::PeerKey;
pub use envelope::ReplayTable;
pub use envelope::ReplayWindow;
pub use envelope::SECRET_MIN_CHARS;
pub use envelope::VerifiedMessage;
pub use envelope::envelope_bytes;
pub use envelope::open_answer;
pub use envelope::open_request;
pub use envelope::seal;
pub use fields::PeerMessageError;
pub use notes::decode_notes_answer;
pub use notes::decode_notes_request;
pub use notes::encode_notes_answer;
pub use notes::encode_notes_request;
