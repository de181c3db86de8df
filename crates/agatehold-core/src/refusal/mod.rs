//! The refusals that agatehold answers requests with, and the answer of each.

use std::fmt;
use std::str::FromStr;

/// What a refusal says about the request's execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalOutcome {
    /// No target ran the request.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

impl RefusalOutcome {
    /// Returns the exit code of a command whose request was refused.
    pub const fn exit_code(self) -> u8 {
        match self {
            Self::NotRun => 1,
            Self::Unknown => 5,
        }
    }
}

impl fmt::Display for RefusalOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// When the caller may send the request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryAdvice {
    /// The same request can't succeed.
    Never,
    /// The same request may succeed now at another address.
    OtherAddress,
    /// The same request may succeed after a delay.
    Later,
    /// The caller has to look up whether the request has run before it sends it
    /// again under a new key.
    AfterLookup,
}

/// The answer for one kind of refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalAnswer {
    /// The kind that this answer belongs to.
    pub kind: RefusalKind,
    /// The name in answers, logs and metrics.
    pub name: &'static str,
    /// The HTTP status code (RFC 9110, RFC 6585).
    pub http_status: u16,
    /// Whether the request may have run.
    ///
    /// `NotRun` is used only if no byte of the request can have reached a target,
    /// or if the target said that it has not run it.
    pub outcome: RefusalOutcome,
    /// When to send the request again.
    pub retry: RetryAdvice,
    /// A sentence that describes the refusal to people.
    pub title: &'static str,
}

macro_rules! refusals {
    ($($kind:ident, $name:literal, $status:literal, $outcome:ident, $retry:ident, $title:literal;)*) => {
        /// The reasons for which agatehold refuses a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum RefusalKind {
            $(#[doc = $title] $kind,)*
        }

        /// The answers, indexed by kind.
        pub const REFUSAL_ANSWERS: &[RefusalAnswer] = &[
            $(RefusalAnswer {
                kind: RefusalKind::$kind,
                name: $name,
                http_status: $status,
                outcome: RefusalOutcome::$outcome,
                retry: RetryAdvice::$retry,
                title: $title,
            },)*
        ];
    };
}

refusals! {
    BadRequest, "bad-request", 400, NotRun, Never, "The request is malformed.";
    HeadTooLarge, "head-too-large", 431, NotRun, Never, "The request head is over the limit.";
    BodyTooLarge, "body-too-large", 413, NotRun, Never, "The request body is over the limit.";
    AmbiguousFraming, "ambiguous-framing", 400, NotRun, Never, "The request has more than one body length.";
    SlowSender, "slow-sender", 408, NotRun, Later, "The request did not arrive in time.";
    UnknownRoute, "unknown-route", 404, NotRun, Never, "No route matches the request.";
    UnknownKey, "unknown-key", 401, NotRun, Never, "The API key is missing or unknown.";
    UnknownTenant, "unknown-tenant", 403, NotRun, Never, "The tenant is missing or unknown.";
    TenantNotAllowed, "tenant-not-allowed", 403, NotRun, Never, "The route does not serve this tenant.";
    DeadlinePassed, "deadline-passed", 408, NotRun, Never, "The deadline passed before the request could be sent.";
    KeyRequired, "key-required", 428, NotRun, Never, "A non-idempotent request needs an idempotency key.";
    KeyMalformed, "key-malformed", 400, NotRun, Never, "The idempotency key is malformed.";
    RateLimited, "rate-limited", 429, NotRun, Later, "The tenant is over its request rate.";
    QueueFull, "queue-full", 503, NotRun, Later, "The queue of the service is full.";
    QueueTimeout, "queue-timeout", 503, NotRun, Later, "No target had a free slot in time.";
    NoTarget, "no-target", 503, NotRun, Later, "The service has no target in service.";
    TargetsPaused, "targets-paused", 503, NotRun, Later, "All targets of the service have asked for a pause.";
    TargetUnreachable, "target-unreachable", 502, NotRun, OtherAddress, "No connection to a target could be opened.";
    TargetShed, "target-shed", 503, NotRun, Later, "The targets shed the request without running it.";
    ClaimUnavailable, "claim-unavailable", 503, NotRun, Later, "The idempotency key could not be claimed.";
    Starting, "starting", 503, NotRun, OtherAddress, "This daemon has no configuration yet.";
    Isolated, "isolated", 503, NotRun, OtherAddress, "This daemon can't confirm that its configuration is current.";
    EntryUnusable, "entry-unusable", 503, NotRun, Later, "The configuration's entry for the request can't be used.";
    Stopping, "stopping", 503, NotRun, OtherAddress, "This daemon is stopping.";
    MemoryFull, "memory-full", 503, NotRun, OtherAddress, "This daemon has no memory left for the request.";
    KeyReused, "key-reused", 422, Unknown, Never, "The idempotency key belongs to a different request.";
    InProgress, "in-progress", 409, Unknown, Later, "A request with the same idempotency key is running.";
    AlreadyRun, "already-run", 409, Unknown, AfterLookup, "A request with the same idempotency key ended and its answer is not kept.";
    KeyExpired, "key-expired", 409, Unknown, AfterLookup, "The idempotency key is older than the daemon's record.";
    OwnerGone, "owner-gone", 409, Unknown, AfterLookup, "The daemon that owns the idempotency key is gone.";
    OwnerUnreachable, "owner-unreachable", 504, Unknown, Later, "The daemon that owns the idempotency key does not answer.";
    Poisoned, "poisoned", 503, Unknown, AfterLookup, "The request crashed targets and is held back.";
    HeldBack, "held-back", 503, Unknown, Later, "The request may have crashed a target and is held back while that is checked.";
    TargetTimeout, "target-timeout", 504, Unknown, AfterLookup, "The target did not answer in time.";
    TargetFailed, "target-failed", 502, Unknown, AfterLookup, "The connection to the target failed after the request was sent.";
    AnswerCut, "answer-cut", 502, Unknown, AfterLookup, "The target's answer ended early.";
    AnswerMismatched, "answer-mismatched", 502, Unknown, AfterLookup, "The target's answer belongs to another request.";
    AnswerTooLarge, "answer-too-large", 502, Unknown, AfterLookup, "The target's answer is over the limit.";
    TargetCrashed, "target-crashed", 502, Unknown, AfterLookup, "The target crashed while it ran the request.";
    Internal, "internal", 500, Unknown, AfterLookup, "An internal error ended the request.";
}

/// Returns whether callers take an HTTP status as the promise that the request has not
/// run and never will.
pub const fn claims_not_run(http_status: u16) -> bool {
    matches!(http_status, 408 | 421 | 429 | 503)
}

impl RefusalKind {
    /// Returns the answer for this kind.
    pub const fn answer(self) -> &'static RefusalAnswer {
        &REFUSAL_ANSWERS[self as usize]
    }

    /// Returns the status for callers that take some statuses as the promise that the
    /// request has not run ([`claims_not_run`]).
    ///
    /// `outcome` tells whether this request may have run, which may differ from
    /// the outcome of its kind.
    pub const fn status_by_outcome(self, outcome: RefusalOutcome) -> u16 {
        let status = self.answer().http_status;
        match outcome {
            RefusalOutcome::NotRun if status >= 500 => 503,
            RefusalOutcome::Unknown if claims_not_run(status) || matches!(status, 409 | 422) => 502,
            _ => status,
        }
    }

    /// Returns what this kind says about execution.
    pub const fn outcome(self) -> RefusalOutcome {
        self.answer().outcome
    }
}

impl fmt::Display for RefusalKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().name)
    }
}

impl FromStr for RefusalKind {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        for answer in REFUSAL_ANSWERS {
            if answer.name == text {
                return Ok(answer.kind);
            }
        }
        Err(())
    }
}
