//! Guards the JSON of stored notes and of the admin address.

use agatehold_core::ids::Digest;
use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_core::note::body_digest;
use agatehold_wire::admin::AdminCodecError;
use agatehold_wire::admin::HostsAnswer;
use agatehold_wire::admin::body_key;
use agatehold_wire::admin::decode_head;
use agatehold_wire::admin::decode_note;
use agatehold_wire::admin::decode_notes;
use agatehold_wire::admin::encode_head;
use agatehold_wire::admin::encode_note;
use agatehold_wire::admin::encode_notes;
use agatehold_wire::admin::split_body_key;

fn note() -> StoredNote {
    let text = "[note]\ncomment = \"quoted\" \u{e9}\n";
    StoredNote {
        header: NoteHeader {
            number: NoteNumber(17),
            id: NoteId([9; 16]),
            prev: Digest([1; 32]),
            body: body_digest(text),
            config: Digest([2; 32]),
            author: "ana".into(),
        },
        text: text.into(),
    }
}

/// A field that changes on its way to the platform and back changes the
/// header's hash, and every daemon refuses the note as a fork.
#[test]
fn notes_and_heads_survive_the_round_trip() {
    let note = note();
    let bytes = encode_note(&note).unwrap();
    assert_eq!(decode_note(&bytes).unwrap(), note);
    let notes = [note.clone(), note.clone()];
    let bytes = encode_notes(&notes).unwrap();
    assert_eq!(decode_notes(&bytes).unwrap(), notes);
    let record = note.header.record();
    assert_eq!(decode_head(&encode_head(record).unwrap()).unwrap(), record);
}

/// A text that was altered in the store must not take effect under the
/// operators' header.
#[test]
fn a_text_with_another_hash_is_refused() {
    let mut altered = note();
    altered.text = "[note]\n".into();
    let bytes = encode_note(&altered).unwrap();
    let verdict = decode_note(&bytes);
    assert!(matches!(
        verdict,
        Err(AdminCodecError::BodyMismatch(NoteNumber(17)))
    ));
}

/// A lost answer is settled by the key's number and id.
#[test]
fn body_keys_can_be_split() {
    let header = note().header;
    let key = body_key(header.number, header.id);
    assert_eq!(split_body_key(&key), Some((header.number, header.id)));
    assert_eq!(split_body_key("notes/body/17"), None);
}

/// A malformed name in an answer must not reach a table of the tool.
#[test]
fn malformed_names_are_refused() {
    let text = r#"{"hosts":[{"id":"A b","failure_domain":"z1","incarnation":"0000000000000001","state":"serving","note":1,"heartbeat_age_ms":null,"peers":null,"callers":null}]}"#;
    assert!(serde_json::from_str::<HostsAnswer>(text).is_err());
    let text = text.replace("A b", "a-b");
    assert_eq!(
        serde_json::from_str::<HostsAnswer>(&text)
            .unwrap()
            .hosts
            .len(),
        1
    );
}
