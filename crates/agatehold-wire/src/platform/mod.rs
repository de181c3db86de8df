//! The platform's HTTP protocol, and the JSON records that are stored on the
//! platform.

mod answer;
mod error;
mod hosts;
mod key;
mod permit;
mod record;
mod request;

pub use answer::PlatformAnswer;
pub use answer::decode_response;
pub use error::PlatformCodecError;
pub use hosts::HostListRow;
pub use hosts::ListedName;
pub use hosts::ListedState;
pub use hosts::decode_hosts;
pub use hosts::encode_hosts;
pub use key::KeyPrefix;
pub use key::LeaseId;
pub use key::PlatformKey;
pub use key::ValueVersion;
pub use permit::decode_permits;
pub use permit::encode_permits;
pub use permit::parse_permits_key;
pub use permit::permits_key;
pub use permit::permits_prefix;
pub use record::claim_key;
pub use record::decode_claim;
pub use record::decode_head;
pub use record::decode_note;
pub use record::encode_claim;
pub use record::encode_head;
pub use record::encode_note;
pub use record::head_key;
pub use record::note_key;
pub use record::note_prefix;
pub use record::parse_note_key;
pub use record::snapshot_key;
pub use record::snapshot_prefix;
pub use request::PlatformRequest;
pub use request::VALUE_MAX_BYTES;
pub use request::encode_request;
