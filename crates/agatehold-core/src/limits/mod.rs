//! Admission control: token buckets for tenants, the admission queue of a
//! service, and `Retry-After` delays.

pub mod allotments;

mod bucket;
mod by_count;
mod by_work;
mod class_arrivals;
mod class_queue;
mod drain;
mod offer;
mod queue;
mod retry_after;
mod return_schedule;
mod round_robin;
mod work_queue;

pub use bucket::BUCKET_SHARDS;
pub use bucket::TenantBuckets;
pub use offer::Admission;
pub use offer::DroppedWaiter;
pub use offer::Offer;
pub use offer::QueueLimits;
pub use offer::TenantSharing;
pub use offer::WaiterId;
pub use offer::effective_class;
pub use queue::AdmissionQueue;
pub use queue::MAX_MISSED_SLOTS;
pub use retry_after::RetryWindow;
pub use retry_after::spread_retry_after;
pub use retry_after::spread_retry_after_fraction;
