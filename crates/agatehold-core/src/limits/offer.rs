//! Requests that ask for a slot, and the answers of the queue.

use std::fmt;
use std::str::FromStr;

use crate::config::ServiceRow;
use crate::config::TenantRow;
use crate::config::TrafficClass;
use crate::ids::ParseIdError;
use crate::ids::TenantName;
use crate::refusal::RefusalKind;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::RetryWindow;

/// The identifier of a waiting request, unique within its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

impl fmt::Display for WaiterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for WaiterId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseIdError::Number)
    }
}

/// The limits of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// The maximum number of waiting requests.
    pub places: usize,
    /// The maximum time that a request waits.
    pub wait_ms: DurationMs,
}

impl QueueLimits {
    /// Returns the limits configured for a service.
    pub const fn of(service: &ServiceRow) -> Self {
        Self {
            places: service.queue_limit as usize,
            wait_ms: service.queue_wait_ms,
        }
    }
}

/// Returns the class of a tenant's requests to a service: the lower-priority
/// one of the classes of the two.
pub fn effective_class(service: &ServiceRow, tenant: &TenantRow) -> TrafficClass {
    service.class.max(tenant.class)
}

/// How the tenants of one class share the slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TenantSharing {
    /// Each tenant gets the same number of slots.
    #[default]
    ByCount,
    /// Each tenant gets the same expected run time. Requests are refused by the wait
    /// expected for their place in this order, and refused callers get times to
    /// return one after the other.
    ByWork,
}

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The tenant that the request belongs to.
    pub tenant: TenantName,
    /// The traffic class of the request.
    pub class: TrafficClass,
    /// The deadline for the answer.
    pub deadline: TimeMs,
    /// How long the request is expected to run; the mean of the service if `None`.
    pub expected_run_ms: Option<DurationMs>,
    /// When the caller gives up, if it has said so.
    pub caller_deadline: Option<TimeMs>,
}

/// The result of [`AdmissionQueue::offer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may choose a target now.
    Admitted,
    /// The request waits.
    Queued {
        /// The identifier of the request in the queue.
        waiter: WaiterId,
        /// A request that this one displaced; it must be refused.
        displaced: Option<DroppedWaiter>,
    },
    /// The request is refused; it did not run.
    Refused {
        /// Why it is refused.
        kind: RefusalKind,
        /// When the caller may retry.
        retry: RetryWindow,
    },
}

/// A request that left the queue without a slot; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedWaiter {
    /// The identifier of the request.
    pub waiter: WaiterId,
    /// Why it is refused.
    pub kind: RefusalKind,
    /// When the caller may retry.
    pub retry: RetryWindow,
}
