//! The authenticated envelope around each message.

use hmac::Hmac;
use hmac::KeyInit as _;
use hmac::Mac as _;
use prost::Message as _;
use quick_error::quick_error;
use sha2::Sha256;

use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::table::Table;
use agatehold_core::units::ByteCount;

use crate::generated::Envelope;

/// The shortest secret in characters.
pub const SECRET_MIN_CHARS: usize = 16;

/// Separates these tags from those of other protocols with the same secret.
const LABEL: &[u8] = b"agatehold-peers-v1";

/// The messages behind the newest one that may still arrive, since calls to
/// the same host may overtake each other.
const REPLAY_WINDOW: u64 = 128;

quick_error! {
    /// Why an envelope is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum EnvelopeError {
        /// The secret in the settings is too short.
        SecretTooShort {
            display("the secret has fewer than {} characters", SECRET_MIN_CHARS)
        }
        /// A field is missing or invalid.
        Malformed {
            display("a field of the envelope is missing or invalid")
        }
        /// The envelope is addressed to another host.
        Misdirected {
            display("the envelope is addressed to another host")
        }
        /// The tag was not made with the secret over these fields.
        Forged {
            display("the tag does not match")
        }
        /// The message was seen before or is too old to tell.
        Replayed {
            display("the message was seen before")
        }
        /// The answer belongs to another message.
        Unasked {
            display("the answer belongs to another message")
        }
    }
}

/// The call that a message belongs to; part of what the tag covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// A digest.
    Exchange,
    /// A request for notes or its answer.
    FetchNotes,
}

impl Method {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Exchange => b"exchange",
            Self::FetchNotes => b"fetch-notes",
        }
    }
}

/// The shared secret of the fleet.
#[derive(Clone)]
pub struct PeerKey {
    mac: Hmac<Sha256>,
}

impl PeerKey {
    /// Creates the key from the secret in the settings.
    pub fn new(secret: &str) -> Result<Self, EnvelopeError> {
        if secret.chars().count() < SECRET_MIN_CHARS {
            return Err(EnvelopeError::SecretTooShort);
        }
        let mac = Hmac::new_from_slice(secret.as_bytes());
        // HMAC takes keys of any length.
        let mac = mac.map_err(|_| EnvelopeError::SecretTooShort)?;
        Ok(Self { mac })
    }

    fn mac_of(&self, method: Method, envelope: &Envelope) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        let parts: [&[u8]; 9] = [
            LABEL,
            method.label(),
            envelope.sender.as_bytes(),
            envelope.receiver.as_bytes(),
            &envelope.incarnation.to_be_bytes(),
            &envelope.sequence.to_be_bytes(),
            &envelope.answers_incarnation.to_be_bytes(),
            &envelope.answers_sequence.to_be_bytes(),
            &envelope.body,
        ];
        for part in parts {
            let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
            mac.update(&length.to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

/// What an envelope says about its message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EnvelopeHeader {
    /// The host that sends it.
    pub sender: HostId,
    /// The host that it is for.
    pub receiver: HostId,
    /// The sender's start.
    pub incarnation: Incarnation,
    /// The place of the message among those of this start, from 1.
    pub sequence: u64,
    /// The incarnation and sequence of the message that this one answers.
    pub answers: Option<(Incarnation, u64)>,
}

/// A message whose envelope was checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// What the envelope says.
    pub header: EnvelopeHeader,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// The messages that were seen from one sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayRow {
    /// The sender's start.
    pub incarnation: Incarnation,
    /// The highest sequence.
    pub highest: u64,
    /// Bit `n` tells whether the message `n` places before the highest came.
    pub seen: u128,
}

/// The messages that were seen, by sender.
pub type ReplayTable = Table<HostId, ReplayRow>;

/// Puts an encoded message into an envelope.
pub fn seal(key: &PeerKey, method: Method, header: &EnvelopeHeader, body: Vec<u8>) -> Envelope {
    let (answers_incarnation, answers_sequence) = header.answers.unwrap_or_default();
    let mut envelope = Envelope {
        sender: header.sender.to_string(),
        receiver: header.receiver.to_string(),
        incarnation: header.incarnation.0,
        sequence: header.sequence,
        body,
        tag: Vec::new(),
        answers_incarnation: answers_incarnation.0,
        answers_sequence,
    };
    let tag = key.mac_of(method, &envelope).finalize();
    envelope.tag = tag.into_bytes().to_vec();
    envelope
}

/// Returns the size of an envelope as it is sent, without the framing of HTTP.
pub fn envelope_bytes(envelope: &Envelope) -> ByteCount {
    ByteCount(u64::try_from(envelope.encoded_len()).unwrap_or(u64::MAX))
}

/// Opens the envelope of a request to `own`.
///
/// Nothing of a refused envelope is remembered, so that a stranger can't make
/// the table grow or move its windows.
pub fn open_request(
    key: &PeerKey,
    method: Method,
    own: &HostId,
    envelope: Envelope,
    seen: &mut ReplayTable,
) -> Result<Opened, EnvelopeError> {
    let opened = open(key, method, own, envelope)?;
    let header = &opened.header;
    if header.answers.is_some() {
        return Err(EnvelopeError::Unasked);
    }
    let row = seen.get_or_insert(header.sender.clone(), ReplayRow::default);
    if !admit(row, header.incarnation, header.sequence) {
        return Err(EnvelopeError::Replayed);
    }
    Ok(opened)
}

/// Opens the envelope of the answer to the message that `asked` headed.
pub fn open_answer(
    key: &PeerKey,
    method: Method,
    asked: &EnvelopeHeader,
    envelope: Envelope,
) -> Result<Opened, EnvelopeError> {
    let opened = open(key, method, &asked.sender, envelope)?;
    let expected = Some((asked.incarnation, asked.sequence));
    if opened.header.sender != asked.receiver || opened.header.answers != expected {
        return Err(EnvelopeError::Unasked);
    }
    Ok(opened)
}

fn open(
    key: &PeerKey,
    method: Method,
    own: &HostId,
    envelope: Envelope,
) -> Result<Opened, EnvelopeError> {
    let mac = key.mac_of(method, &envelope);
    // `verify_slice` compares in constant time.
    mac.verify_slice(&envelope.tag)
        .map_err(|_| EnvelopeError::Forged)?;
    let malformed = EnvelopeError::Malformed;
    let sender: HostId = envelope.sender.parse().map_err(|_| malformed)?;
    let receiver: HostId = envelope.receiver.parse().map_err(|_| malformed)?;
    if receiver != *own {
        return Err(EnvelopeError::Misdirected);
    }
    if envelope.incarnation == 0 || envelope.sequence == 0 {
        return Err(malformed);
    }
    let answers = match (envelope.answers_incarnation, envelope.answers_sequence) {
        (0, 0) => None,
        (0, _) | (_, 0) => return Err(malformed),
        (incarnation, sequence) => Some((Incarnation(incarnation), sequence)),
    };
    Ok(Opened {
        header: EnvelopeHeader {
            sender,
            receiver,
            incarnation: Incarnation(envelope.incarnation),
            sequence: envelope.sequence,
            answers,
        },
        body: envelope.body,
    })
}

/// Returns whether a message is new, and remembers it.
fn admit(row: &mut ReplayRow, incarnation: Incarnation, sequence: u64) -> bool {
    if incarnation < row.incarnation {
        return false;
    }
    if incarnation > row.incarnation {
        *row = ReplayRow {
            incarnation,
            highest: sequence,
            seen: 1,
        };
        return true;
    }
    if sequence > row.highest {
        let shift = sequence - row.highest;
        row.seen = if shift >= REPLAY_WINDOW {
            0
        } else {
            row.seen << shift
        };
        row.seen |= 1;
        row.highest = sequence;
        return true;
    }
    let behind = row.highest - sequence;
    if behind >= REPLAY_WINDOW || row.seen & (1 << behind) != 0 {
        return false;
    }
    row.seen |= 1 << behind;
    true
}
