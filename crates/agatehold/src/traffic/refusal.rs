//! A refusal on its way to the caller.

use agatehold_core::ids::ServiceName;
use agatehold_core::limits::RetryWindow;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::units::DurationMs;

/// Why a request is refused and what the caller is told.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// The kind.
    pub(crate) kind: RefusalKind,
    /// Whether the request, or an earlier one with its key, may have run.
    pub(crate) outcome: RefusalOutcome,
    /// When the caller may come back.
    pub(crate) retry: RetryWindow,
    /// The service, for the addresses in the refusal.
    pub(crate) service: Option<ServiceName>,
}

impl Refusal {
    /// Creates a refusal with the outcome of its kind.
    pub(crate) fn new(kind: RefusalKind) -> Self {
        Self::with_outcome(kind, kind.outcome())
    }

    /// Creates a refusal whose outcome depends on the key.
    pub(crate) fn with_outcome(kind: RefusalKind, outcome: RefusalOutcome) -> Self {
        Self {
            kind,
            outcome,
            retry: RetryWindow::after(DurationMs(0)),
            service: None,
        }
    }
}
