//! A refusal that is returned to the caller.

use agatehold_core::ids::ServiceName;
use agatehold_core::limits::RetryWindow;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::units::DurationMs;

/// Why a request is refused, and what the response tells the caller.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// The reason.
    pub(crate) kind: RefusalKind,
    /// Whether the request, or an earlier one with its key, may have run.
    pub(crate) outcome: RefusalOutcome,
    /// When the caller may retry.
    pub(crate) retry: RetryWindow,
    /// The service for which the refusal lists addresses of daemons, if known.
    pub(crate) service: Option<ServiceName>,
}

impl Refusal {
    /// Creates a refusal with the default outcome of its kind.
    pub(crate) fn new(kind: RefusalKind) -> Self {
        Self::with_outcome(kind, kind.outcome())
    }

    /// Creates a refusal with an outcome that depends on the state of the
    /// idempotency key.
    pub(crate) fn with_outcome(kind: RefusalKind, outcome: RefusalOutcome) -> Self {
        Self {
            kind,
            outcome,
            retry: RetryWindow::after(DurationMs(0)),
            service: None,
        }
    }
}
