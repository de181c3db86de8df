//! What a daemon knows about earlier arrivals of a request.

use crate::refusal::RefusalKind;
use crate::refusal::RefusalOutcome;

/// What a daemon knows about earlier arrivals of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyState {
    /// The request has no key, and each arrival stands for itself.
    NoKey,
    /// This daemon owns the key and no earlier arrival ran.
    NeverRun,
    /// An earlier arrival may have run, or this daemon can't tell.
    MayHaveRun,
}

/// Returns what a refusal of `kind` says about execution.
///
/// A daemon that can't tell whether an earlier arrival of the key ran must not
/// say `not-run`: the caller would send the request again under a new key.
pub const fn refusal_outcome(kind: RefusalKind, key: KeyState) -> RefusalOutcome {
    match key {
        KeyState::NoKey | KeyState::NeverRun => kind.outcome(),
        KeyState::MayHaveRun => RefusalOutcome::Unknown,
    }
}
