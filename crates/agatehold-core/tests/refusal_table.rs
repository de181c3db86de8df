//! Tests the table of answers by refusal kind.

use agatehold_core::refusal::REFUSAL_ANSWERS;
use agatehold_core::refusal::RefusalKind;

/// Guards against a kind that is answered with the row of another kind, and so with
/// the wrong status and outcome.
#[test]
fn each_kind_has_its_own_row() {
    for answer in REFUSAL_ANSWERS {
        assert_eq!(answer.kind.answer(), answer);
        assert_eq!(answer.name.parse::<RefusalKind>(), Ok(answer.kind));
    }
}

/// Guards against a refusal with a success status, which would look like an answer of a
/// target.
#[test]
fn each_refusal_is_an_error_status() {
    for answer in REFUSAL_ANSWERS {
        assert!((400..600).contains(&answer.http_status), "{answer:?}");
    }
}
