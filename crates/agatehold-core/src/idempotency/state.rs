//! Whether an earlier arrival of a request may have run.

use crate::refusal::RefusalKind;
use crate::refusal::RefusalOutcome;

/// What a daemon knows about earlier arrivals of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyState {
    /// The request has no key, so each arrival is a separate request.
    NoKey,
    /// This daemon owns the key and knows that no earlier arrival ran.
    NeverRun,
    /// An earlier arrival may have run, or this daemon can't tell.
    MayHaveRun,
}

/// Returns what a refusal of `kind` tells the caller about execution.
///
/// Unless the daemon knows that no earlier arrival of the key ran, it must not
/// answer `not-run`: the caller would resend the request under a new key, and it
/// could run twice.
pub const fn refusal_outcome(kind: RefusalKind, key: KeyState) -> RefusalOutcome {
    match key {
        KeyState::NoKey | KeyState::NeverRun => kind.outcome(),
        KeyState::MayHaveRun => RefusalOutcome::Unknown,
    }
}
