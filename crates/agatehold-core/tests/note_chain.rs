//! Guards the rule that a configuration is replaced only by a descendant.

use agatehold_core::ids::Digest;
use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::ChainFault;
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

/// A lagging peer that offers its older chain must not turn the daemon back.
#[test]
fn refuses_an_older_chain() {
    let headers = chain(5, "ana");
    let held = headers[4].head();
    let verdict = verify_descendant(held, &headers[..3]);
    assert_eq!(
        verdict,
        Err(ChainFault::NotNewer(NoteNumber(5), NoteNumber(3)))
    );
}

/// A longer chain that forked before the held note must not replace it.
#[test]
fn refuses_a_fork() {
    let held = chain(3, "ana")[2].head();
    let verdict = verify_descendant(held, &chain(6, "bruno"));
    assert_eq!(verdict, Err(ChainFault::Fork(NoteNumber(4))));
}

/// A missing note hides changes that the later notes build on.
#[test]
fn refuses_a_gap() {
    let headers = chain(5, "ana");
    let held = headers[1].head();
    let verdict = verify_descendant(held, &headers[3..]);
    assert_eq!(verdict, Err(ChainFault::Gap(NoteNumber(2))));
}

/// A descendant, with or without the notes already held, is taken.
#[test]
fn takes_a_descendant() {
    let headers = chain(5, "ana");
    let held = headers[1].head();
    assert_eq!(verify_descendant(held, &headers), Ok(headers[4].head()));
    assert_eq!(
        verify_descendant(held, &headers[2..]),
        Ok(headers[4].head())
    );
}
