//! Admission control: token buckets for tenants, the admission queue of a
//! service, and `Retry-After` delays.

pub mod allotments;

mod bucket;
mod class_queue;
mod drain;
mod queue;
mod retry_after;

pub use bucket::BUCKET_SHARDS;
pub use bucket::TenantBuckets;
pub use queue::Admission;
pub use queue::AdmissionQueue;
pub use queue::DroppedWaiter;
pub use queue::MAX_MISSED_SLOTS;
pub use queue::Offer;
pub use queue::QueueLimits;
pub use queue::WaiterId;
pub use queue::effective_class;
pub use retry_after::RetryWindow;
pub use retry_after::spread_retry_after;
pub use retry_after::spread_retry_after_fraction;
