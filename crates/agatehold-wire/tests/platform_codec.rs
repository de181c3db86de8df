//! Tests the encoding and decoding of the platform's protocol and records.

use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;

use agatehold_core::idempotency::ClaimNonce;
use agatehold_core::idempotency::ClaimRecord;
use agatehold_core::idempotency::KeyOwner;
use agatehold_core::ids::Digest;
use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_core::note::body_digest;
use agatehold_core::units::DurationMs;
use agatehold_wire::platform;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformCodecError;
use agatehold_wire::platform::PlatformKey;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::ValueVersion;

const ADDRESS: &str = "127.0.0.1:7000";

fn headers_with_etag(tag: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("etag", HeaderValue::from_static(tag));
    headers
}

fn create_request() -> PlatformRequest {
    PlatformRequest::Create {
        key: platform::head_key(),
        value: b"v".to_vec(),
        lease: Some("l1".parse().expect("a lease")),
    }
}

/// If a write were sent without its condition header, it would overwrite another
/// writer's value.
#[test]
fn writes_have_their_condition_header() {
    let address = ADDRESS.parse().unwrap();
    let created = platform::encode_request(&create_request(), address).unwrap();
    assert_eq!(created.method(), "PUT");
    assert_eq!(created.headers()["if-none-match"], "*");
    let uri = created.uri().to_string();
    assert_eq!(uri, "http://127.0.0.1:7000/kv/notes/head?lease=l1");
    let swap = PlatformRequest::CompareAndSwap {
        key: platform::head_key(),
        version: ValueVersion(7),
        value: Vec::new(),
        lease: None,
    };
    let swapped = platform::encode_request(&swap, address).unwrap();
    assert_eq!(swapped.headers()["if-match"], "\"7\"");
    let delete = PlatformRequest::Delete {
        key: platform::head_key(),
        version: ValueVersion(8),
    };
    let deleted = platform::encode_request(&delete, address).unwrap();
    assert_eq!(deleted.headers()["if-match"], "\"8\"");
}

/// If a conflict were decoded as a success, two writers would both assume that their
/// value was stored.
#[test]
fn conflict_is_distinguished_from_success() {
    let request = create_request();
    let decode =
        |status, headers: &HeaderMap| platform::decode_response(&request, status, headers, b"");
    let version = ValueVersion(4);
    assert_eq!(
        decode(StatusCode::CREATED, &headers_with_etag("\"4\"")),
        Ok(PlatformAnswer::Stored { version })
    );
    let current = Some(version);
    assert_eq!(
        decode(StatusCode::PRECONDITION_FAILED, &headers_with_etag("\"4\"")),
        Ok(PlatformAnswer::Conflict { current })
    );
    assert_eq!(
        decode(StatusCode::NOT_FOUND, &HeaderMap::new()),
        Ok(PlatformAnswer::LeaseGone)
    );
    assert_eq!(
        decode(StatusCode::OK, &HeaderMap::new()),
        Err(PlatformCodecError::Header("etag"))
    );
    assert_eq!(
        decode(StatusCode::SERVICE_UNAVAILABLE, &HeaderMap::new()),
        Err(PlatformCodecError::Status(503))
    );
}

/// A watch that ends without a change must not be decoded as a removed value.
#[test]
fn watch_distinguishes_unchanged_from_missing() {
    let request = PlatformRequest::Watch {
        key: platform::head_key(),
        after: ValueVersion(3),
        wait_ms: DurationMs(30_000),
    };
    let encoded = platform::encode_request(&request, ADDRESS.parse().unwrap()).unwrap();
    assert_eq!(encoded.uri().query(), Some("after=3&wait_ms=30000"));
    let none = HeaderMap::new();
    assert_eq!(
        platform::decode_response(&request, StatusCode::NOT_MODIFIED, &none, b""),
        Ok(PlatformAnswer::Unchanged)
    );
    assert_eq!(
        platform::decode_response(&request, StatusCode::NOT_FOUND, &none, b""),
        Ok(PlatformAnswer::Missing)
    );
}

/// A host list with an unknown state or an invalid name must be an error as a whole,
/// and not be used in part.
#[test]
fn host_list_round_trips_and_refuses_invalid_values() {
    let text = r#"[{"name":"e1","kind":"entry","address":"127.0.0.1:1","failure_domain":"a","state":"live"},
        {"name":"t1","kind":"target","address":"127.0.0.1:2","failure_domain":"b","state":"leaving"}]"#;
    let rows = platform::decode_hosts(text.as_bytes()).unwrap();
    let again = platform::encode_hosts(&rows).unwrap();
    assert_eq!(platform::decode_hosts(&again).as_ref(), Ok(&rows));
    assert!(platform::decode_hosts(text.replace("live", "asleep").as_bytes()).is_err());
    assert!(platform::decode_hosts(text.replace("\"e1\"", "\"E 1\"").as_bytes()).is_err());
}

/// If a key held dot segments, empty segments or escapes, the request path would name
/// another key.
#[test]
fn keys_refuse_dot_segments_and_escapes() {
    for text in ["", "a//b", "/a", "a/", "a/../b", "a?b", "a%2fb", "A"] {
        assert!(text.parse::<PlatformKey>().is_err(), "{text}");
    }
    let id = NoteId([9; 16]);
    let key = platform::note_key(NoteNumber(12), id);
    assert_eq!(platform::parse_note_key(&key), Some((NoteNumber(12), id)));
    assert!(
        key.as_str()
            .starts_with(platform::note_prefix(NoteNumber(12)).as_str())
    );
}

/// If encoding changed a record, the chain of notes would break or a claim would name
/// another owner. A note whose text was altered must be refused.
#[test]
fn records_round_trip_and_altered_text_is_refused() {
    let text = "[note]\nauthor = ana\n";
    let header = NoteHeader {
        number: NoteNumber(1),
        id: NoteId([1; 16]),
        prev: Digest::default(),
        body: body_digest(text),
        config: Digest([2; 32]),
        author: "ana".into(),
    };
    let head = HeadRecord {
        head: header.head(),
        id: header.id,
        config: header.config,
    };
    let bytes = platform::encode_head(&head).unwrap();
    assert_eq!(platform::decode_head(&bytes), Ok(head));
    let note = StoredNote {
        header,
        text: text.into(),
    };
    let bytes = platform::encode_note(&note).unwrap();
    assert_eq!(platform::decode_note(&bytes), Ok(note));
    let altered = String::from_utf8(bytes).unwrap().replace("= ana", "= eve");
    assert!(platform::decode_note(altered.as_bytes()).is_err());
    let claim = ClaimRecord {
        owner: KeyOwner {
            host: "e1".parse().unwrap(),
            incarnation: "00000000000000ff".parse().unwrap(),
        },
        nonce: ClaimNonce(5),
    };
    let bytes = platform::encode_claim(&claim).unwrap();
    assert_eq!(platform::decode_claim(&bytes), Ok(claim));
}

/// A later version of the daemon may write a state that this one does not know. Guards
/// against taking it for a known one: as `ejected` it would exclude a target that other
/// daemons count as capacity, as `returning` its entry would be removed while they exclude
/// it. The record can't be read, so that its exclusions end 15 s after the last
/// confirmation and nothing overwrites it.
#[test]
fn a_permit_record_with_an_unknown_state_can_not_be_read() {
    let record = |state: &str| {
        format!(
            "{{\"number\":7,\"entries\":[\
             {{\"target\":\"a\",\"state\":\"ejected\",\"added\":3,\"since\":3,\"hold_ms\":1}},\
             {{\"target\":\"b\",\"state\":\"{state}\",\"added\":4,\"since\":4,\"hold_ms\":1}}]}}"
        )
    };
    for state in ["ejected", "returning"] {
        let decoded = platform::decode_permits(record(state).as_bytes());
        assert_eq!(decoded.map(|record| record.entries.len()).ok(), Some(2));
    }
    for state in ["draining", "Ejected", "", "ejected "] {
        let decoded = platform::decode_permits(record(state).as_bytes());
        assert!(decoded.is_err(), "{state:?}: {decoded:?}");
    }
}
