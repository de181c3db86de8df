//! Encoding and decoding of requests for release notes and of their answers.

use prost::Message as _;

use agatehold_core::ids::NoteNumber;
use agatehold_core::note::NoteHeader;
use agatehold_core::note::StoredNote;
use agatehold_core::replication::NotesAnswer;
use agatehold_core::replication::NotesRequest;
use agatehold_core::replication::SnapshotChunk;

use crate::generated;

use super::fields;
use super::fields::PeerMessageError;

/// The maximum length of a note's author in bytes.
const AUTHOR_MAX_BYTES: usize = 256;

/// Encodes a request for notes.
pub fn encode_notes_request(request: &NotesRequest) -> Vec<u8> {
    let message = generated::NotesRequest {
        after: request.after.0,
        chunk: request.chunk.map(|(number, index)| generated::ChunkPlace {
            number: number.0,
            index,
        }),
    };
    message.encode_to_vec()
}

/// Decodes a request for notes.
pub fn decode_notes_request(body: &[u8]) -> Result<NotesRequest, PeerMessageError> {
    let message = generated::NotesRequest::decode(body).map_err(|_| PeerMessageError::Malformed)?;
    Ok(NotesRequest {
        after: NoteNumber(message.after),
        chunk: message
            .chunk
            .map(|place| (NoteNumber(place.number), place.index)),
    })
}

/// Encodes the answer to a request for notes.
pub fn encode_notes_answer(answer: &NotesAnswer) -> Vec<u8> {
    let mut records = Vec::new();
    for record in &answer.records {
        records.push(generated::NoteRecord {
            header: Some(encode_header(&record.header)),
            body: record.text.to_string(),
        });
    }
    let message = generated::NotesAnswer {
        records,
        headers: answer.headers.iter().map(encode_header).collect(),
        chunk: answer.chunk.as_ref().map(|chunk| generated::SnapshotChunk {
            header: Some(encode_header(&chunk.header)),
            index: chunk.index,
            count: chunk.count,
            text: chunk.text.to_string(),
        }),
    };
    message.encode_to_vec()
}

fn encode_header(header: &NoteHeader) -> generated::NoteHeader {
    generated::NoteHeader {
        number: header.number.0,
        id: header.id.0.to_vec(),
        prev: header.prev.0.to_vec(),
        body: header.body.0.to_vec(),
        config: header.config.0.to_vec(),
        author: header.author.to_string(),
    }
}

/// Decodes the answer to a request for notes and checks that every field is present
/// and in range.
///
/// Whether the texts match their hashes is checked later, when the notes are
/// applied.
pub fn decode_notes_answer(body: &[u8]) -> Result<NotesAnswer, PeerMessageError> {
    let message = generated::NotesAnswer::decode(body).map_err(|_| PeerMessageError::Malformed)?;
    let mut records = Vec::new();
    for record in message.records {
        let header = fields::required(record.header, "header")?;
        records.push(StoredNote {
            header: decode_header(&header)?,
            text: record.body.into(),
        });
    }
    let mut headers = Vec::new();
    for header in &message.headers {
        headers.push(decode_header(header)?);
    }
    let chunk = match message.chunk {
        Some(chunk) => Some(decode_chunk(chunk)?),
        None => None,
    };
    Ok(NotesAnswer {
        records,
        headers,
        chunk,
    })
}

fn decode_header(header: &generated::NoteHeader) -> Result<NoteHeader, PeerMessageError> {
    if header.number == 0 {
        return Err(PeerMessageError::Field("number"));
    }
    if header.author.len() > AUTHOR_MAX_BYTES {
        return Err(PeerMessageError::Field("author"));
    }
    Ok(NoteHeader {
        number: NoteNumber(header.number),
        id: fields::note_id(&header.id, "id")?,
        prev: fields::hash(&header.prev, "prev")?,
        body: fields::hash(&header.body, "body")?,
        config: fields::hash(&header.config, "config")?,
        author: header.author.as_str().into(),
    })
}

fn decode_chunk(chunk: generated::SnapshotChunk) -> Result<SnapshotChunk, PeerMessageError> {
    let header = fields::required(chunk.header, "header")?;
    if chunk.index >= chunk.count {
        return Err(PeerMessageError::Field("index"));
    }
    Ok(SnapshotChunk {
        header: decode_header(&header)?,
        index: chunk.index,
        count: chunk.count,
        text: chunk.text.into(),
    })
}
