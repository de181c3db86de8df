//! Tests the JSON bodies of the admin API.

use agatehold_core::ids::Digest;
use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_core::note::body_digest;
use agatehold_wire::admin::AdminCodecError;
use agatehold_wire::admin::HeadJson;
use agatehold_wire::admin::HostsAnswer;
use agatehold_wire::admin::decode_notes;
use agatehold_wire::admin::encode_notes;

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

/// If encoding changed a field, the hash of the note's header would change and the
/// daemon would refuse the note as a fork of the chain.
#[test]
fn pushed_notes_round_trip() {
    let notes = [note(), note()];
    let bytes = encode_notes(&notes).unwrap();
    assert_eq!(decode_notes(&bytes).unwrap(), notes);
    let record = note().header.record();
    assert_eq!(HeadRecord::from(HeadJson::from(record)), record);
}

/// A note whose text was altered in transit must not be applied under the header of
/// the original.
#[test]
fn a_text_with_another_hash_is_refused() {
    let mut altered = note();
    altered.text = "[note]\n".into();
    let bytes = encode_notes(&[altered]).unwrap();
    let result = decode_notes(&bytes);
    assert!(matches!(
        result,
        Err(AdminCodecError::BodyMismatch(NoteNumber(17)))
    ));
}

/// A malformed name in a response must be an error, so that `agateholdctl` never
/// shows it.
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
