//! Tests that only a descendant replaces the configuration in force.

use agatehold_core::ids::Digest;
use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::ChainError;
use agatehold_core::note::Head;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::verify_descendant;

fn chain(length: u64, first_author: &str) -> Vec<NoteHeader> {
    let mut head = Head::default();
    let mut headers = Vec::new();
    for number in 1..=length {
        let author = if number == 1 { first_author } else { "ana" };
        let header = NoteHeader {
            number: NoteNumber(number),
            id: NoteId([7; 16]),
            prev: head.hash,
            body: Digest::of_parts(&[b"body"]),
            config: Digest::default(),
            author: author.into(),
        };
        head = header.head();
        headers.push(header);
    }
    headers
}

/// The older chain of a peer that lags behind must not replace a newer note.
#[test]
fn rejects_an_older_chain() {
    let headers = chain(5, "ana");
    let current = headers[4].head();
    let result = verify_descendant(current, &headers[..3]);
    assert_eq!(
        result,
        Err(ChainError::NotNewer(NoteNumber(5), NoteNumber(3)))
    );
}

/// A longer chain that forked before the current note must not replace it.
#[test]
fn rejects_a_fork() {
    let current = chain(3, "ana")[2].head();
    let result = verify_descendant(current, &chain(6, "bruno"));
    assert_eq!(result, Err(ChainError::Fork(NoteNumber(4))));
}

/// Later notes depend on the changes of a missing note.
#[test]
fn rejects_a_gap() {
    let headers = chain(5, "ana");
    let current = headers[1].head();
    let result = verify_descendant(current, &headers[3..]);
    assert_eq!(result, Err(ChainError::Gap(NoteNumber(2))));
}

/// A descendant is accepted, with or without the notes up to the current one.
#[test]
fn accepts_a_descendant() {
    let headers = chain(5, "ana");
    let current = headers[1].head();
    assert_eq!(verify_descendant(current, &headers), Ok(headers[4].head()));
    assert_eq!(
        verify_descendant(current, &headers[2..]),
        Ok(headers[4].head())
    );
}
