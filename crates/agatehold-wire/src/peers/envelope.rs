//! The envelope that authenticates each message between daemons and protects it
//! against replay.

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

/// The minimum length of the shared secret in characters.
pub const SECRET_MIN_CHARS: usize = 16;

/// The protocol label in every tag. It makes the tags differ from those of other
/// protocols that use the same secret.
const PROTOCOL_LABEL: &[u8] = b"agatehold-peers-v1";

/// How far the sequence number of an accepted message may be behind the highest one
/// of its sender, in messages. Calls to the same host may overtake each other.
const REPLAY_WINDOW_MESSAGES: u64 = 128;

quick_error! {
    /// An error while creating the key or opening an envelope.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum EnvelopeError {
        /// The secret in the settings is too short.
        SecretTooShort {
            display("the shared secret has fewer than {} characters", SECRET_MIN_CHARS)
        }
        /// A field of the envelope is missing or invalid.
        Malformed {
            display("a field of the envelope is missing or invalid")
        }
        /// The receiver in the envelope is another host.
        WrongReceiver {
            display("the envelope is addressed to another host")
        }
        /// The tag does not match: the message was altered or belongs to another
        /// [`Method`], or the sender has another secret.
        TagMismatch {
            display("the authentication tag does not match: the message was altered or the sender has another secret")
        }
        /// The message was received before, or is older than the replay window or
        /// the sender's current incarnation.
        Replayed {
            display("the message was received before or is too old")
        }
        /// The message is an answer where a request was expected, or does not answer
        /// the request that was sent.
        UnexpectedAnswer {
            display("the message is an answer where a request was expected, or does not answer the request that was sent")
        }
    }
}

/// The gRPC method that a message belongs to. The tag covers it, so that a message
/// can't be passed off as one of another method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// The exchange of digests.
    Exchange,
    /// A request for release notes, or its answer.
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

/// The fleet's shared secret as an HMAC key.
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

    fn compute_mac(&self, method: Method, envelope: &Envelope) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        let parts: [&[u8]; 9] = [
            PROTOCOL_LABEL,
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

/// The fields of an envelope that identify its message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EnvelopeHeader {
    /// The host that sends the message.
    pub sender: HostId,
    /// The host that the message is addressed to.
    pub receiver: HostId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of the message within the incarnation, from 1.
    pub sequence: u64,
    /// The incarnation and sequence of the message that this one answers.
    pub answers: Option<(Incarnation, u64)>,
}

/// A message whose envelope was verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerifiedMessage {
    /// The header of the message.
    pub header: EnvelopeHeader,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// The messages that were received from one sender, for replay protection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    /// The newest incarnation of the sender.
    pub incarnation: Incarnation,
    /// The highest sequence number received of this incarnation.
    pub highest: u64,
    /// Bit `n` is set if the message with sequence number `highest - n` was
    /// received.
    pub seen: u128,
}

/// The messages that were received, by sender.
pub type ReplayTable = Table<HostId, ReplayWindow>;

/// Puts an encoded message into an envelope and adds the tag.
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
    let tag = key.compute_mac(method, &envelope).finalize();
    envelope.tag = tag.into_bytes().to_vec();
    envelope
}

/// Returns the encoded size of an envelope, without the framing of gRPC and HTTP/2.
pub fn envelope_bytes(envelope: &Envelope) -> ByteCount {
    ByteCount(u64::try_from(envelope.encoded_len()).unwrap_or(u64::MAX))
}

/// Verifies the envelope of a request to the host `own` and records its sequence
/// number in `seen`.
///
/// An envelope that fails verification does not change `seen`, so that a sender
/// without the secret can't make the table grow or move its windows.
pub fn open_request(
    key: &PeerKey,
    method: Method,
    own: &HostId,
    envelope: Envelope,
    seen: &mut ReplayTable,
) -> Result<VerifiedMessage, EnvelopeError> {
    let opened = verify(key, method, own, envelope)?;
    let header = &opened.header;
    if header.answers.is_some() {
        return Err(EnvelopeError::UnexpectedAnswer);
    }
    let row = seen.get_or_insert(header.sender.clone(), ReplayWindow::default);
    if !accept_sequence(row, header.incarnation, header.sequence) {
        return Err(EnvelopeError::Replayed);
    }
    Ok(opened)
}

/// Verifies the envelope of the answer to the request with the header `request`.
pub fn open_answer(
    key: &PeerKey,
    method: Method,
    request: &EnvelopeHeader,
    envelope: Envelope,
) -> Result<VerifiedMessage, EnvelopeError> {
    let opened = verify(key, method, &request.sender, envelope)?;
    let expected = Some((request.incarnation, request.sequence));
    if opened.header.sender != request.receiver || opened.header.answers != expected {
        return Err(EnvelopeError::UnexpectedAnswer);
    }
    Ok(opened)
}

fn verify(
    key: &PeerKey,
    method: Method,
    own: &HostId,
    envelope: Envelope,
) -> Result<VerifiedMessage, EnvelopeError> {
    let mac = key.compute_mac(method, &envelope);
    // `verify_slice` compares in constant time.
    mac.verify_slice(&envelope.tag)
        .map_err(|_| EnvelopeError::TagMismatch)?;
    let malformed = EnvelopeError::Malformed;
    let sender: HostId = envelope.sender.parse().map_err(|_| malformed)?;
    let receiver: HostId = envelope.receiver.parse().map_err(|_| malformed)?;
    if receiver != *own {
        return Err(EnvelopeError::WrongReceiver);
    }
    if envelope.incarnation == 0 || envelope.sequence == 0 {
        return Err(malformed);
    }
    let answers = match (envelope.answers_incarnation, envelope.answers_sequence) {
        (0, 0) => None,
        (0, _) | (_, 0) => return Err(malformed),
        (incarnation, sequence) => Some((Incarnation(incarnation), sequence)),
    };
    Ok(VerifiedMessage {
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

/// Returns whether a message was not received before and is not too old, and if so
/// records it.
fn accept_sequence(row: &mut ReplayWindow, incarnation: Incarnation, sequence: u64) -> bool {
    if incarnation < row.incarnation {
        return false;
    }
    if incarnation > row.incarnation {
        *row = ReplayWindow {
            incarnation,
            highest: sequence,
            seen: 1,
        };
        return true;
    }
    if sequence > row.highest {
        let shift = sequence - row.highest;
        row.seen = if shift >= REPLAY_WINDOW_MESSAGES {
            0
        } else {
            row.seen << shift
        };
        row.seen |= 1;
        row.highest = sequence;
        return true;
    }
    let behind = row.highest - sequence;
    if behind >= REPLAY_WINDOW_MESSAGES || row.seen & (1 << behind) != 0 {
        return false;
    }
    row.seen |= 1 << behind;
    true
}
