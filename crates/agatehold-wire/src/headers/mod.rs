//! Names of the HTTP headers that agatehold reads and writes.

/// The tenant of a request.
pub const TENANT: &str = "agatehold-tenant";
/// The time that a request may still take, in milliseconds.
pub const TIMEOUT_MS: &str = "agatehold-timeout-ms";
/// `no` marks a request as non-idempotent.
pub const IDEMPOTENT: &str = "agatehold-idempotent";
/// The key by which a request that is sent again is recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The identifier of one arrival, echoed by targets.
pub const REQUEST_ID: &str = "agatehold-request-id";
/// The target that ran a request.
pub const TARGET: &str = "agatehold-target";
/// The time that agatehold added to a request, in microseconds.
pub const ADDED_US: &str = "agatehold-added-us";
/// The kind of a refusal.
pub const REFUSAL: &str = "agatehold-refusal";
/// The outcome of a refused request, `not-run` or `unknown`.
pub const OUTCOME: &str = "agatehold-outcome";
/// The daemon that forwarded a request to the owner of its key.
pub const FORWARDED_BY: &str = "agatehold-forwarded-by";
/// A target's requests in flight and slots, as `<in flight>/<slots>`.
pub const LOAD: &str = "agatehold-load";
/// A target's state: `serving`, `warming` or `leaving`.
pub const STATE: &str = "agatehold-state";
/// `1` certifies that a target did not run a request.
pub const SHED: &str = "agatehold-shed";
/// `yes` marks an answer that was kept from an earlier request with the key.
pub const REPLAYED: &str = "agatehold-replayed";
/// The path at which callers ask which addresses to use.
pub const ADDRESSES_PATH: &str = "/.well-known/agatehold/addresses";
