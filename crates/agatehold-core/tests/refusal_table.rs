//! Guards the table from refusal kind to answer.

use agatehold_core::refusal::REFUSAL_ANSWERS;
use agatehold_core::refusal::RefusalKind;

/// A kind that points at another kind's row would answer with the wrong
/// status and outcome.
#[test]
fn each_kind_has_its_own_row() {
    for answer in REFUSAL_ANSWERS {
        assert_eq!(answer.kind.answer(), answer);
        assert_eq!(answer.name.parse::<RefusalKind>(), Ok(answer.kind));
    }
}

/// A success status on a refusal would make it look like an answer.
#[test]
fn each_refusal_is_an_error_status() {
    for answer in REFUSAL_ANSWERS {
        assert!((400..600).contains(&answer.http_status), "{answer:?}");
    }
}
