//! At-most-once execution: idempotency keys, the daemon process that owns each
//! key, and the record of what ran under it.

mod key;
mod platform_claim;
mod state;
mod table;

pub use key::IdempotencyKey;
pub use key::KEY_MAX_CHARS;
pub use key::KeyPrefix;
pub use key::ParseKeyError;
pub use platform_claim::CLAIM_CALLS_MAX;
pub use platform_claim::CLAIM_RETENTION_MS;
pub use platform_claim::ClaimAnswer;
pub use platform_claim::ClaimNonce;
pub use platform_claim::ClaimRecord;
pub use platform_claim::ClaimStep;
pub use platform_claim::KeyOwner;
pub use platform_claim::claim_record_name;
pub use platform_claim::next_claim_step;
pub use state::KeyState;
pub use state::refusal_outcome;
pub use table::Arrival;
pub use table::Claim;
pub use table::ClaimId;
pub use table::KeyLimits;
pub use table::KeyTable;
pub use table::StoredAnswer;
