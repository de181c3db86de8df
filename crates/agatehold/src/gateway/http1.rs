//! HTTP/1.1 messages on a byte stream: heads by `httparse`, bodies by their
//! framing (RFC 9112).

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use quick_error::quick_error;

/// The greatest number of headers in a message.
const HEADERS_MAX: usize = 100;

/// The longest line that announces a chunk: 16 hexadecimal digits and room for
/// extensions.
const CHUNK_LINE_BYTES: usize = 256;

/// The bytes of chunk lines and trailers that a body may have beside
/// [`FRAMING_PER_BYTE_MAX`].
const FRAMING_BYTES_MAX: usize = 64 * 1024;

/// The bytes of chunk lines for each byte of a body; chunks of one byte take three.
const FRAMING_PER_BYTE_MAX: usize = 8;

quick_error! {
    /// Bytes that are not a message.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum HttpFault {
        /// The head can't be parsed.
        Malformed {
            display("malformed message")
        }
        /// The head is over the limit.
        HeadTooLarge {
            display("head over the limit")
        }
        /// The body is over the limit.
        BodyTooLarge {
            display("body over the limit")
        }
        /// The body's length is given twice or in two ways.
        AmbiguousLength {
            display("ambiguous body length")
        }
    }
}

/// Where the body of a message ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// After so many bytes.
    Length(usize),
    /// After the last chunk.
    Chunked,
    /// With the connection; only answers.
    UntilClose,
}

/// The head of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    /// The method.
    pub(crate) method: Method,
    /// The path and query as sent.
    pub(crate) target: Box<str>,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// Where the body ends.
    pub(crate) framing: Framing,
    /// Whether the connection serves further requests.
    pub(crate) keeps_alive: bool,
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    /// The status.
    pub(crate) status: StatusCode,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// Where the body ends.
    pub(crate) framing: Framing,
    /// Whether the connection serves further requests.
    pub(crate) keeps_alive: bool,
}

/// Takes a request head off the buffer; `None` if it is not complete.
pub(crate) fn take_request_head(
    buffer: &mut BytesMut,
    head_max: usize,
) -> Result<Option<RequestHead>, HttpFault> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > head_max => {
            return Err(HttpFault::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpFault::HeadTooLarge),
        Err(_) => return Err(HttpFault::Malformed),
    };
    if length > head_max {
        return Err(HttpFault::HeadTooLarge);
    }
    let method = Method::from_bytes(parsed.method.unwrap_or("").as_bytes())
        .map_err(|_| HttpFault::Malformed)?;
    let target: Box<str> = parsed.path.unwrap_or("").into();
    let version = parsed.version.unwrap_or(0);
    let headers = collect_headers(parsed.headers)?;
    let framing = match body_framing(&headers)? {
        Some(framing) => framing,
        None => Framing::Length(0),
    };
    let keeps_alive = keeps_alive(version, &headers);
    buffer.advance(length);
    Ok(Some(RequestHead {
        method,
        target,
        headers,
        framing,
        keeps_alive,
    }))
}

/// Takes the head of an answer off the buffer; `None` if it is not complete.
///
/// Interim answers are passed over; `interim_bytes` counts their bytes over all
/// calls for one answer, and they share the limit of its head.
pub(crate) fn take_response_head(
    buffer: &mut BytesMut,
    head_max: usize,
    interim_bytes: &mut usize,
    is_head_request: bool,
) -> Result<Option<ResponseHead>, HttpFault> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Response::new(&mut fields);
        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() > head_max => {
                return Err(HttpFault::HeadTooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpFault::Malformed),
        };
        let status =
            StatusCode::from_u16(parsed.code.unwrap_or(0)).map_err(|_| HttpFault::Malformed)?;
        let version = parsed.version.unwrap_or(0);
        let headers = collect_headers(parsed.headers)?;
        buffer.advance(length);
        if status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(HttpFault::Malformed);
        }
        if status.is_informational() {
            *interim_bytes += length;
            if *interim_bytes > head_max {
                return Err(HttpFault::HeadTooLarge);
            }
            continue;
        }
        let has_no_body = is_head_request
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        let framing = match body_framing(&headers)? {
            _ if has_no_body => Framing::Length(0),
            Some(framing) => framing,
            None => Framing::UntilClose,
        };
        let keeps_alive = keeps_alive(version, &headers) && framing != Framing::UntilClose;
        return Ok(Some(ResponseHead {
            status,
            headers,
            framing,
            keeps_alive,
        }));
    }
}

fn collect_headers(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, HttpFault> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name =
            HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| HttpFault::Malformed)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| HttpFault::Malformed)?;
        headers.append(name, value);
    }
    Ok(headers)
}

fn body_framing(headers: &HeaderMap) -> Result<Option<Framing>, HttpFault> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next();
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let encoding = encodings.next();
    if lengths.next().is_some() || encodings.next().is_some() {
        return Err(HttpFault::AmbiguousLength);
    }
    match (length, encoding) {
        (Some(_), Some(_)) => Err(HttpFault::AmbiguousLength),
        (None, Some(encoding)) if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(HttpFault::Malformed),
        (Some(length), None) => {
            let text = length.to_str().map_err(|_| HttpFault::Malformed)?;
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpFault::Malformed);
            }
            let length = text.parse().map_err(|_| HttpFault::BodyTooLarge)?;
            Ok(Some(Framing::Length(length)))
        }
        (None, None) => Ok(None),
    }
}

fn keeps_alive(version: u8, headers: &HeaderMap) -> bool {
    let mut keeps = version == 1;
    for value in headers.get_all(header::CONNECTION) {
        let Ok(text) = value.to_str() else {
            continue;
        };
        for option in text.split(',') {
            if option.trim().eq_ignore_ascii_case("close") {
                return false;
            }
            if option.trim().eq_ignore_ascii_case("keep-alive") {
                keeps = true;
            }
        }
    }
    keeps
}

/// Collects the body of a message as its bytes come.
#[derive(Debug)]
pub(crate) struct BodyCollector {
    framing: Framing,
    collected: BytesMut,
    /// What is left of the current chunk and its end of line, if one began.
    chunk_left: Option<usize>,
    in_trailers: bool,
    /// The bytes of chunk lines and trailers so far.
    framing_bytes: usize,
    body_max: usize,
}

impl BodyCollector {
    /// Creates a collector for a body of at most `body_max` bytes.
    pub(crate) fn new(framing: Framing, body_max: usize) -> Result<Self, HttpFault> {
        if let Framing::Length(length) = framing
            && length > body_max
        {
            return Err(HttpFault::BodyTooLarge);
        }
        Ok(Self {
            framing,
            collected: BytesMut::new(),
            chunk_left: None,
            in_trailers: false,
            framing_bytes: 0,
            body_max,
        })
    }

    /// Takes the body's bytes off the buffer; returns whether it is complete.
    ///
    /// A body until the close is never complete by itself.
    pub(crate) fn take(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpFault> {
        match self.framing {
            Framing::Length(length) => {
                let missing = length - self.collected.len();
                self.collect(buffer, missing)?;
                Ok(self.collected.len() == length)
            }
            Framing::UntilClose => {
                self.collect(buffer, usize::MAX)?;
                Ok(false)
            }
            Framing::Chunked => self.take_chunks(buffer),
        }
    }

    fn collect(&mut self, buffer: &mut BytesMut, most: usize) -> Result<(), HttpFault> {
        let length = buffer.len().min(most);
        if self.collected.len() + length > self.body_max {
            return Err(HttpFault::BodyTooLarge);
        }
        if self.collected.is_empty() && length == buffer.len() {
            self.collected = buffer.split();
            return Ok(());
        }
        self.collected.extend_from_slice(&buffer[..length]);
        buffer.advance(length);
        Ok(())
    }

    fn take_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpFault> {
        loop {
            if self.in_trailers {
                return self.skip_trailers(buffer);
            }
            if let Some(left) = self.chunk_left {
                if !self.take_chunk_data(buffer, left)? {
                    return Ok(false);
                }
                continue;
            }
            let (start, size) = match httparse::parse_chunk_size(buffer) {
                Ok(httparse::Status::Complete(chunk)) => chunk,
                Ok(httparse::Status::Partial) if buffer.len() > CHUNK_LINE_BYTES => {
                    return Err(HttpFault::Malformed);
                }
                Ok(httparse::Status::Partial) => return Ok(false),
                Err(_) => return Err(HttpFault::Malformed),
            };
            buffer.advance(start);
            self.count_framing(start)?;
            if size == 0 {
                self.in_trailers = true;
                continue;
            }
            let size = usize::try_from(size).map_err(|_| HttpFault::BodyTooLarge)?;
            if size > self.body_max {
                return Err(HttpFault::BodyTooLarge);
            }
            self.chunk_left = Some(size);
        }
    }

    /// Takes data of the current chunk and the end of line behind it; returns
    /// whether the chunk is complete.
    fn take_chunk_data(&mut self, buffer: &mut BytesMut, left: usize) -> Result<bool, HttpFault> {
        let length = buffer.len().min(left);
        if self.collected.len() + length > self.body_max {
            return Err(HttpFault::BodyTooLarge);
        }
        self.collected.extend_from_slice(&buffer[..length]);
        buffer.advance(length);
        self.chunk_left = Some(left - length);
        if length < left || buffer.len() < 2 {
            return Ok(false);
        }
        if &buffer[..2] != b"\r\n" {
            return Err(HttpFault::Malformed);
        }
        buffer.advance(2);
        self.chunk_left = None;
        Ok(true)
    }

    /// Drops the trailers behind the last chunk; returns whether their end came.
    fn skip_trailers(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpFault> {
        loop {
            let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                if buffer.len() > CHUNK_LINE_BYTES {
                    return Err(HttpFault::Malformed);
                }
                return Ok(false);
            };
            buffer.advance(end + 2);
            if end == 0 {
                return Ok(true);
            }
            self.count_framing(end + 2)?;
        }
    }

    fn count_framing(&mut self, length: usize) -> Result<(), HttpFault> {
        self.framing_bytes += length;
        let most = FRAMING_BYTES_MAX + self.collected.len() * FRAMING_PER_BYTE_MAX;
        if self.framing_bytes > most {
            return Err(HttpFault::Malformed);
        }
        Ok(())
    }

    /// Returns the number of bytes collected so far.
    pub(crate) fn collected_bytes(&self) -> usize {
        self.collected.len()
    }

    /// Returns whether a body until the close may end here.
    pub(crate) fn ends_with_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Returns the body.
    pub(crate) fn close(self) -> Bytes {
        self.collected.freeze()
    }
}

/// Appends headers to a message.
pub(crate) fn write_headers(out: &mut Vec<u8>, headers: &HeaderMap) {
    for (name, value) in headers {
        write_header(out, name.as_str(), value.as_bytes());
    }
}

/// Appends one header to a message.
pub(crate) fn write_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
