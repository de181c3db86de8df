//! Tests the encoding and decoding of messages between daemons and the verification of
//! their envelopes.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message as _;

use agatehold_core::ejection::PermitEntry;
use agatehold_core::ejection::PermitNumber;
use agatehold_core::ejection::PermitRecord;
use agatehold_core::ejection::PermitState;
use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::membership::EvidenceUpdate;
use agatehold_core::membership::HeadUpdate;
use agatehold_core::membership::Heartbeat;
use agatehold_core::membership::HostPhase;
use agatehold_core::membership::LeavingUpdate;
use agatehold_core::membership::PeerDigest;
use agatehold_core::membership::PermitUpdate;
use agatehold_core::membership::PoisonUpdate;
use agatehold_core::membership::RowUpdate;
use agatehold_core::membership::StandingUpdate;
use agatehold_core::note::Head;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_core::replication::NotesAnswer;
use agatehold_core::replication::NotesRequest;
use agatehold_core::replication::SnapshotChunk;
use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_wire::generated;
use agatehold_wire::peers;
use agatehold_wire::peers::EnvelopeError;
use agatehold_wire::peers::EnvelopeHeader;
use agatehold_wire::peers::Method;
use agatehold_wire::peers::PeerKey;
use agatehold_wire::peers::PeerMessageError;
use agatehold_wire::peers::ReplayTable;

fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn host(number: u8) -> HostId {
    format!("entry-{number}").parse().expect("a valid name")
}

fn age() -> impl Strategy<Value = DurationMs> {
    (0..1_000_000_u64).prop_map(DurationMs)
}

fn standing() -> impl Strategy<Value = StandingUpdate> {
    prop_oneof![
        Just(StandingUpdate::Alive),
        (any::<u8>(), age()).prop_map(|(by, age)| StandingUpdate::Accused(host(by), age)),
        (0..100_u8, age())
            .prop_map(|(by, age)| StandingUpdate::Suspected([host(by), host(by + 1)], age)),
        age().prop_map(StandingUpdate::Gone),
    ]
}

fn plain_row(number: u8) -> RowUpdate {
    RowUpdate {
        host: host(number),
        failure_domain: "north".parse().expect("a valid name"),
        peer_address: SocketAddr::from(([10, 0, 0, 1], 7901)),
        caller_address: None,
        incarnation: Incarnation(1),
        heartbeat: Heartbeat(1),
        phase: HostPhase::Serving,
        head: NoteNumber(1),
        heard_age: None,
        standing: StandingUpdate::Alive,
    }
}

fn row() -> impl Strategy<Value = RowUpdate> {
    let phase = prop_oneof![
        Just(HostPhase::Starting),
        Just(HostPhase::Serving),
        Just(HostPhase::Isolated),
        Just(HostPhase::Leaving),
    ];
    let address = || (any::<IpAddr>(), 1..=u16::MAX).prop_map(SocketAddr::from);
    let addresses = (address(), prop::option::of(address()));
    let numbers = (1..u64::MAX, any::<u64>(), any::<u64>());
    let ages = (prop::option::of(age()), standing());
    (any::<u8>(), addresses, numbers, phase, ages).prop_map(
        |(number, addresses, (incarnation, heartbeat, head), phase, (heard_age, standing))| {
            RowUpdate {
                peer_address: addresses.0,
                caller_address: addresses.1,
                incarnation: Incarnation(incarnation),
                heartbeat: Heartbeat(heartbeat),
                phase,
                head: NoteNumber(head),
                heard_age,
                standing,
                ..plain_row(number)
            }
        },
    )
}

fn permit((version, returning, age): (u64, bool, DurationMs)) -> PermitUpdate {
    let state = if returning {
        PermitState::Returning
    } else {
        PermitState::Ejected
    };
    let entry = PermitEntry {
        state,
        added: PermitNumber(version),
        since: PermitNumber(version),
        hold_ms: age,
    };
    PermitUpdate {
        service: "closures".parse().expect("a valid name"),
        record: PermitRecord {
            number: PermitNumber(version),
            entries: Table::from_iter([("closures-1".parse().expect("a valid name"), entry)]),
        },
        age,
    }
}

fn leaving(age: DurationMs) -> LeavingUpdate {
    LeavingUpdate {
        target: "closures-4".parse().expect("a valid name"),
        age,
    }
}

fn evidence((log_likelihood_ratio, age): (f64, DurationMs)) -> EvidenceUpdate {
    EvidenceUpdate {
        target: "closures-2".parse().expect("a valid name"),
        observer: host(1),
        log_likelihood_ratio,
        age,
    }
}

fn digest() -> impl Strategy<Value = PeerDigest> {
    let head = (any::<u64>(), any::<[u8; 32]>(), prop::option::of(age()));
    let permits = prop::collection::vec((any::<u64>(), any::<bool>(), age()), 0..4);
    let evidence_parts = prop::collection::vec((-1e6..1e6, age()), 0..4);
    let poisoned = prop::collection::vec((any::<[u8; 32]>(), any::<bool>(), age()), 0..4);
    let ages = prop::collection::vec(age(), 0..4);
    let rows = prop::collection::vec(row(), 0..9);
    let updates = (permits, evidence_parts, poisoned, ages);
    (row(), rows, any::<u64>(), head, updates).prop_map(
        |(mut sender, rows, turn, (number, hash, confirmed_age), updates)| {
            let (permits, evidence_parts, poisoned, ages) = updates;
            sender.standing = StandingUpdate::Alive;
            let poison = |(fingerprint, cleared, age)| PoisonUpdate {
                fingerprint: Digest(fingerprint),
                target: "closures-3".parse().expect("a valid name"),
                reporter: host(2),
                cleared,
                age,
            };
            PeerDigest {
                sender,
                rows,
                turn,
                head: HeadUpdate {
                    head: Head {
                        number: NoteNumber(number),
                        hash: Digest(hash),
                    },
                    confirmed_age,
                },
                permits: permits.into_iter().map(permit).collect(),
                evidence: evidence_parts.into_iter().map(evidence).collect(),
                poisoned: poisoned.into_iter().map(poison).collect(),
                leaving: ages.into_iter().map(leaving).collect(),
            }
        },
    )
}

fn note_header() -> impl Strategy<Value = NoteHeader> {
    (
        1..u64::MAX,
        any::<[u8; 16]>(),
        any::<[u8; 32]>(),
        "[a-z]{0,20}",
    )
        .prop_map(|(number, id, hash, author)| NoteHeader {
            number: NoteNumber(number),
            id: NoteId(id),
            prev: Digest(hash),
            body: Digest([1; 32]),
            config: Digest([2; 32]),
            author: author.into(),
        })
}

fn notes_answer() -> impl Strategy<Value = NotesAnswer> {
    let record = (note_header(), ".{0,80}").prop_map(|(header, body)| StoredNote {
        header,
        text: body.into(),
    });
    let chunk =
        (note_header(), 0..9_u32, ".{0,80}").prop_map(|(header, index, text)| SnapshotChunk {
            header,
            index,
            count: index + 1,
            text: text.into(),
        });
    let records = prop::collection::vec(record, 0..4);
    let headers = prop::collection::vec(note_header(), 0..4);
    (records, headers, prop::option::of(chunk)).prop_map(|(records, headers, chunk)| NotesAnswer {
        records,
        headers,
        chunk,
    })
}

fn key() -> PeerKey {
    PeerKey::new("a secret of the fleet").expect("long enough")
}

fn request_header(sequence: u64) -> EnvelopeHeader {
    EnvelopeHeader {
        sender: host(1),
        receiver: host(2),
        incarnation: Incarnation(77),
        sequence,
        answers: None,
    }
}

proptest! {
    #![proptest_config(settings(200))]

    /// If encoding lost or changed a field of a digest, the receiver would update its
    /// tables with wrong values.
    #[test]
    fn digests_round_trip(digest in digest()) {
        prop_assert_eq!(peers::decode_digest(&peers::encode_digest(&digest)), Ok(digest));
    }

    /// If encoding lost or changed a field of a request for notes or of its answer, the
    /// receiver would miss notes or refuse them.
    #[test]
    fn notes_round_trip(answer in notes_answer(), after in any::<u64>(), chunk in prop::option::of((any::<u64>(), any::<u32>()))) {
        prop_assert_eq!(peers::decode_notes_answer(&peers::encode_notes_answer(&answer)), Ok(answer));
        let request = NotesRequest {
            after: NoteNumber(after),
            chunk: chunk.map(|(number, index)| (NoteNumber(number), index)),
        };
        prop_assert_eq!(peers::decode_notes_request(&peers::encode_notes_request(&request)), Ok(request));
    }

    /// Decoding a malformed body must never panic.
    #[test]
    fn malformed_bodies_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 1..200), digest in digest(), at in any::<prop::sample::Index>(), value in any::<u8>()) {
        let _ = peers::decode_digest(&bytes);
        let _ = peers::decode_notes_answer(&bytes);
        let _ = peers::decode_notes_request(&bytes);
        let mut altered = peers::encode_digest(&digest);
        let place = at.index(altered.len());
        altered[place] = value;
        let _ = peers::decode_digest(&altered);
        altered.truncate(place);
        let _ = peers::decode_digest(&altered);
    }

    /// A sender without the secret must not be able to alter any part of a valid
    /// message.
    #[test]
    fn altered_envelopes_are_refused(body in prop::collection::vec(any::<u8>(), 1..60), field in 0..9_usize, at in any::<prop::sample::Index>()) {
        let mut envelope = peers::seal(&key(), Method::Exchange, &request_header(5), body);
        match field {
            0 => envelope.sender = "entry-9".into(),
            1 => envelope.receiver = "entry-9".into(),
            2 => envelope.incarnation += 1,
            3 => envelope.sequence += 1,
            4 => envelope.answers_incarnation += 1,
            5 => envelope.answers_sequence += 1,
            6 => envelope.tag.truncate(at.index(32)),
            7 => envelope.tag[at.index(32)] ^= 1,
            _ => {
                let place = at.index(envelope.body.len());
                envelope.body[place] ^= 1;
            }
        }
        let receiver: HostId = envelope.receiver.parse().unwrap();
        let mut seen = ReplayTable::new();
        let result = peers::open_request(&key(), Method::Exchange, &receiver, envelope, &mut seen);
        prop_assert_eq!(result, Err(EnvelopeError::TagMismatch));
        prop_assert!(seen.is_empty());
    }

    /// Each message must be accepted exactly once, in any order within the replay
    /// window of 128 messages.
    #[test]
    fn replays_are_refused(order in prop::collection::vec(1..400_u64, 1..200)) {
        let mut seen = ReplayTable::new();
        let mut accepted = BTreeSet::new();
        for sequence in order {
            let envelope = peers::seal(&key(), Method::Exchange, &request_header(sequence), vec![1]);
            let opened = peers::open_request(&key(), Method::Exchange, &host(2), envelope, &mut seen);
            let newest = accepted.last().copied().unwrap_or(0);
            let expected = !accepted.contains(&sequence) && sequence + 128 > newest;
            prop_assert_eq!(opened.is_ok(), expected, "{} after {:?}", sequence, accepted);
            if expected {
                accepted.insert(sequence);
            }
        }
    }
}

/// A message with another secret, for another receiver, of another method or from an
/// earlier incarnation of the sender must be refused; one from a later incarnation
/// must be accepted.
#[test]
fn foreign_and_outdated_messages_are_refused() {
    let mut seen = ReplayTable::new();
    let mut open = |key: &PeerKey, method, own: u8, header: &EnvelopeHeader| {
        let envelope = peers::seal(key, Method::Exchange, header, vec![1]);
        let opened = peers::open_request(&self::key(), method, &host(own), envelope, &mut seen);
        opened.err()
    };
    let other_key = PeerKey::new("another secret of a stranger").unwrap();
    let first = request_header(1);
    let forged = Some(EnvelopeError::TagMismatch);
    assert_eq!(open(&other_key, Method::Exchange, 2, &first), forged);
    assert_eq!(open(&key(), Method::FetchNotes, 2, &first), forged);
    let misdirected = Some(EnvelopeError::WrongReceiver);
    assert_eq!(open(&key(), Method::Exchange, 3, &first), misdirected);
    assert_eq!(open(&key(), Method::Exchange, 2, &first), None);
    let mut earlier = request_header(9);
    earlier.incarnation = Incarnation(76);
    let replayed = Some(EnvelopeError::Replayed);
    assert_eq!(open(&key(), Method::Exchange, 2, &earlier), replayed);
    let mut later = request_header(1);
    later.incarnation = Incarnation(78);
    assert_eq!(open(&key(), Method::Exchange, 2, &later), None);
    let short = PeerKey::new("short").err();
    assert_eq!(short, Some(EnvelopeError::SecretTooShort));
}

/// An answer must be accepted only for the request that it answers. The answer to an
/// earlier request could confirm a head that was replaced since.
#[test]
fn answers_are_accepted_only_for_their_request() {
    let error_of = |sender, answers| {
        let header = EnvelopeHeader {
            sender: host(sender),
            receiver: host(1),
            incarnation: Incarnation(50),
            sequence: 3,
            answers,
        };
        let envelope = peers::seal(&key(), Method::Exchange, &header, vec![1]);
        peers::open_answer(&key(), Method::Exchange, &request_header(5), envelope).err()
    };
    assert_eq!(error_of(2, Some((Incarnation(77), 5))), None);
    for (sender, answers) in [
        (2, Some((Incarnation(77), 4))),
        (2, Some((Incarnation(76), 5))),
        (3, Some((Incarnation(77), 5))),
        (2, None),
    ] {
        assert_eq!(
            error_of(sender, answers),
            Some(EnvelopeError::UnexpectedAnswer)
        );
    }
}

fn decode_error(change: impl Fn(&mut generated::Digest, generated::Row)) -> PeerMessageError {
    let digest = PeerDigest {
        sender: plain_row(1),
        rows: Vec::new(),
        turn: 1,
        head: HeadUpdate::default(),
        permits: Vec::new(),
        evidence: Vec::new(),
        poisoned: Vec::new(),
        leaving: Vec::new(),
    };
    let body = peers::encode_digest(&digest);
    let mut message = generated::Digest::decode(body.as_slice()).expect("a digest");
    let sender = message.sender.clone().expect("a sender");
    change(&mut message, sender);
    let result = peers::decode_digest(&message.encode_to_vec());
    result.expect_err("a field out of range")
}

/// Missing fields and values that no daemon sends must be refused, so that they never
/// reach the tables of the receiver.
#[test]
fn fields_out_of_range_are_refused() {
    use PeerMessageError::Field;
    use PeerMessageError::TooMany;

    let error = decode_error(|message, _| message.sender = None);
    assert_eq!(error, Field("sender"));
    let error = decode_error(|message, _| message.head = None);
    assert_eq!(error, Field("head"));
    let error = decode_error(|message, _| {
        message.head = Some(generated::Head {
            number: 1,
            hash: vec![1; 31],
        });
    });
    assert_eq!(error, Field("hash"));
    let error = decode_error(|message, mut sender| {
        sender.host = "No Name".into();
        message.sender = Some(sender);
    });
    assert_eq!(error, Field("host"));
    let error = decode_error(|message, mut sender| {
        sender.phase = 9;
        message.sender = Some(sender);
    });
    assert_eq!(error, Field("phase"));
    let error = decode_error(|message, mut sender| {
        sender.peer_address = Some(generated::Address {
            ip: vec![10, 0, 0, 1],
            port: 70_000,
        });
        message.sender = Some(sender);
    });
    assert_eq!(error, Field("peer_address"));
    let error = decode_error(|message, mut sender| {
        sender.incarnation = 0;
        message.sender = Some(sender);
    });
    assert_eq!(error, Field("sender"));
    let error = decode_error(|message, sender| message.rows = vec![sender; 65]);
    assert_eq!(error, TooMany("rows"));
    let error = decode_error(|message, _| {
        message.evidence.push(generated::Evidence {
            target: "a".into(),
            observer: "b".into(),
            log_likelihood_ratio: f64::NAN,
            age_ms: 0,
        });
    });
    assert_eq!(error, Field("log_likelihood_ratio"));
}
