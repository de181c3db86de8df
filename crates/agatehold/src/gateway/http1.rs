//! HTTP/1.1 parsing and writing on a byte stream: `httparse` parses the heads,
//! bodies are delimited by their framing (RFC 9112).

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

use agatehold_core::outcome::is_valid_status;

/// The maximum number of headers in a message.
const HEADERS_MAX: usize = 100;

/// The maximum length of a chunk-size line or a trailer line; a chunk-size line
/// holds up to 16 hexadecimal digits, which leaves room for chunk extensions.
const CHUNK_LINE_BYTES: usize = 256;

/// The bytes of chunk-size lines and trailers that any body may have. Larger
/// bodies may have more, see [`FRAMING_PER_BYTE_MAX`].
const FRAMING_BYTES_MAX: usize = 64 * 1024;

/// The additional bytes of chunk-size lines and trailers allowed per byte of the
/// body. Chunks of one byte each need three bytes per byte of the body.
const FRAMING_PER_BYTE_MAX: usize = 8;

quick_error! {
    /// Why a message could not be parsed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum HttpError {
        /// The message is malformed, has an invalid status code, uses an
        /// unsupported transfer encoding or protocol switch, or has too many bytes
        /// of chunk framing.
        Malformed {
            display("malformed message")
        }
        /// The head exceeds the size limit or has too many headers.
        HeadTooLarge {
            display("head exceeds the size limit")
        }
        /// The body exceeds the size limit.
        BodyTooLarge {
            display("body exceeds the size limit")
        }
        /// Several `content-length` or `transfer-encoding` headers are
        /// present, or both kinds.
        AmbiguousLength {
            display("ambiguous body length")
        }
    }
}

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body has this many bytes.
    Length(usize),
    /// The body is chunked.
    Chunked,
    /// The body ends when the connection is closed; only for responses.
    UntilClose,
}

/// The head of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    /// The method.
    pub(crate) method: Method,
    /// The path and query, unmodified.
    pub(crate) target: Box<str>,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// How the end of the body is determined.
    pub(crate) framing: Framing,
    /// Whether the connection may carry further requests.
    pub(crate) keeps_alive: bool,
}

/// The head of a response.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    /// The status.
    pub(crate) status: StatusCode,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// How the end of the body is determined.
    pub(crate) framing: Framing,
    /// Whether the connection may carry further requests.
    pub(crate) keeps_alive: bool,
}

/// Parses and removes a request head from the start of the buffer; `None` if it is
/// incomplete.
pub(crate) fn take_request_head(
    buffer: &mut BytesMut,
    head_max: usize,
) -> Result<Option<RequestHead>, HttpError> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > head_max => {
            return Err(HttpError::HeadTooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed),
    };
    if length > head_max {
        return Err(HttpError::HeadTooLarge);
    }
    let method = Method::from_bytes(parsed.method.unwrap_or("").as_bytes())
        .map_err(|_| HttpError::Malformed)?;
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

/// Parses and removes a response head from the start of the buffer; `None` if it is
/// incomplete.
///
/// Interim responses (1xx) are skipped. `interim_bytes` counts their bytes across
/// all calls for one response; together they must not exceed `head_max`.
pub(crate) fn take_response_head(
    buffer: &mut BytesMut,
    head_max: usize,
    interim_bytes: &mut usize,
    is_head_request: bool,
) -> Result<Option<ResponseHead>, HttpError> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Response::new(&mut fields);
        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() > head_max => {
                return Err(HttpError::HeadTooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed),
        };
        let status = parse_status(parsed.code)?;
        let version = parsed.version.unwrap_or(0);
        let headers = collect_headers(parsed.headers)?;
        buffer.advance(length);
        if status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(HttpError::Malformed);
        }
        if status.is_informational() {
            *interim_bytes += length;
            if *interim_bytes > head_max {
                return Err(HttpError::HeadTooLarge);
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

/// Converts a status code. The type of the library would take all numbers from 100 to
/// 999.
fn parse_status(code: Option<u16>) -> Result<StatusCode, HttpError> {
    let code = code.filter(|code| is_valid_status(*code));
    let code = code.ok_or(HttpError::Malformed)?;
    StatusCode::from_u16(code).map_err(|_| HttpError::Malformed)
}

fn collect_headers(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, HttpError> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name =
            HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| HttpError::Malformed)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| HttpError::Malformed)?;
        headers.append(name, value);
    }
    Ok(headers)
}

fn body_framing(headers: &HeaderMap) -> Result<Option<Framing>, HttpError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next();
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let encoding = encodings.next();
    if lengths.next().is_some() || encodings.next().is_some() {
        return Err(HttpError::AmbiguousLength);
    }
    match (length, encoding) {
        (Some(_), Some(_)) => Err(HttpError::AmbiguousLength),
        (None, Some(encoding)) if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(HttpError::Malformed),
        (Some(length), None) => {
            let text = length.to_str().map_err(|_| HttpError::Malformed)?;
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::Malformed);
            }
            let length = text.parse().map_err(|_| HttpError::BodyTooLarge)?;
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

/// Collects the body of a message as its bytes arrive.
#[derive(Debug)]
pub(crate) struct BodyCollector {
    framing: Framing,
    collected: BytesMut,
    /// The data bytes left of the current chunk, 0 while only its CRLF is missing;
    /// `None` between chunks.
    chunk_left: Option<usize>,
    in_trailers: bool,
    /// The bytes of chunk-size lines and trailers so far.
    framing_bytes: usize,
    body_max: usize,
}

impl BodyCollector {
    /// Creates a collector for a body of at most `body_max` bytes.
    pub(crate) fn new(framing: Framing, body_max: usize) -> Result<Self, HttpError> {
        if let Framing::Length(length) = framing
            && length > body_max
        {
            return Err(HttpError::BodyTooLarge);
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

    /// Moves the body's bytes out of the buffer; returns whether the body is complete.
    ///
    /// A body with [`Framing::UntilClose`] never becomes complete here.
    pub(crate) fn take(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpError> {
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

    fn collect(&mut self, buffer: &mut BytesMut, limit: usize) -> Result<(), HttpError> {
        let length = buffer.len().min(limit);
        if self.collected.len() + length > self.body_max {
            return Err(HttpError::BodyTooLarge);
        }
        if self.collected.is_empty() && length == buffer.len() {
            self.collected = buffer.split();
            return Ok(());
        }
        self.collected.extend_from_slice(&buffer[..length]);
        buffer.advance(length);
        Ok(())
    }

    fn take_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpError> {
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
                    return Err(HttpError::Malformed);
                }
                Ok(httparse::Status::Partial) => return Ok(false),
                Err(_) => return Err(HttpError::Malformed),
            };
            buffer.advance(start);
            self.count_framing(start)?;
            if size == 0 {
                self.in_trailers = true;
                continue;
            }
            let size = usize::try_from(size).map_err(|_| HttpError::BodyTooLarge)?;
            if size > self.body_max {
                return Err(HttpError::BodyTooLarge);
            }
            self.chunk_left = Some(size);
        }
    }

    /// Moves the data of the current chunk out of the buffer, and the CRLF that
    /// follows it; returns whether the chunk is complete.
    fn take_chunk_data(&mut self, buffer: &mut BytesMut, left: usize) -> Result<bool, HttpError> {
        let length = buffer.len().min(left);
        if self.collected.len() + length > self.body_max {
            return Err(HttpError::BodyTooLarge);
        }
        self.collected.extend_from_slice(&buffer[..length]);
        buffer.advance(length);
        self.chunk_left = Some(left - length);
        if length < left || buffer.len() < 2 {
            return Ok(false);
        }
        if &buffer[..2] != b"\r\n" {
            return Err(HttpError::Malformed);
        }
        buffer.advance(2);
        self.chunk_left = None;
        Ok(true)
    }

    /// Discards the trailers after the last chunk; returns whether their end has been
    /// reached.
    fn skip_trailers(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpError> {
        loop {
            let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                if buffer.len() > CHUNK_LINE_BYTES {
                    return Err(HttpError::Malformed);
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

    fn count_framing(&mut self, length: usize) -> Result<(), HttpError> {
        self.framing_bytes += length;
        let limit = FRAMING_BYTES_MAX + self.collected.len() * FRAMING_PER_BYTE_MAX;
        if self.framing_bytes > limit {
            return Err(HttpError::Malformed);
        }
        Ok(())
    }

    /// Returns the number of bytes collected so far.
    pub(crate) fn collected_bytes(&self) -> usize {
        self.collected.len()
    }

    /// Returns whether closing the connection completes the body.
    pub(crate) fn ends_with_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Returns the collected body.
    pub(crate) fn into_bytes(self) -> Bytes {
        self.collected.freeze()
    }
}

/// Appends headers to an encoded message.
pub(crate) fn write_headers(out: &mut Vec<u8>, headers: &HeaderMap) {
    for (name, value) in headers {
        write_header(out, name.as_str(), value.as_bytes());
    }
}

/// Appends one header to an encoded message.
pub(crate) fn write_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
