//! Names of the HTTP headers that agatehold reads and writes, and the path for
//! address requests.

/// The tenant of a request.
pub const TENANT: &str = "agatehold-tenant";
/// The time that a request may still take, in milliseconds.
pub const TIMEOUT_MS: &str = "agatehold-timeout-ms";
/// `no` marks a request as non-idempotent.
pub const IDEMPOTENT: &str = "agatehold-idempotent";
/// The idempotency key, by which a repeated request is recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The identifier of one arrival of a request at a daemon; targets return it.
pub const REQUEST_ID: &str = "agatehold-request-id";
/// The target that ran a request.
pub const TARGET: &str = "agatehold-target";
/// The latency that agatehold added to a request, in microseconds.
pub const ADDED_US: &str = "agatehold-added-us";
/// The kind of refusal, as in [`crate::problem::Problem::kind`].
pub const REFUSAL: &str = "agatehold-refusal";
/// Whether a refused request may have run: `not-run` or `unknown`.
pub const OUTCOME: &str = "agatehold-outcome";
/// The daemon that forwarded a request to the owner of its idempotency key.
pub const FORWARDED_BY: &str = "agatehold-forwarded-by";
/// A target's requests in flight and slots, as `<in flight>/<slots>`.
pub const LOAD: &str = "agatehold-load";
/// A target's state: `serving`, `warming` or `leaving`.
pub const STATE: &str = "agatehold-state";
/// `1` means that the target rejected the request without running it.
pub const SHED: &str = "agatehold-shed";
/// `yes` marks a stored answer to an earlier request with the same idempotency
/// key.
pub const REPLAYED: &str = "agatehold-replayed";
/// The path at which callers fetch the addresses to use for a service.
pub const ADDRESSES_PATH: &str = "/.well-known/agatehold/addresses";
