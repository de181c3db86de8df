//! Writes responses to callers.

use std::io;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

use agatehold_core::units::DurationMs;

use super::endpoint::Response;
use super::http1::write_header;
use super::http1::write_headers;
use super::reading_time::ReadingTime;
use super::shared::InFlightGuard;

/// How long writing a response may take without progress, once the requests of the
/// connection have reached their time limits.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The bytes of a response that count as progress. A caller that reads less in
/// [`WRITE_TIMEOUT`] would hold the memory of its responses for long.
const PROGRESS_BYTES: usize = 64 * 1024;

/// How long to wait at least for the caller to close the connection after the last
/// response. Closing a socket with unread bytes, or bytes that arrive afterwards, would
/// reset the connection, and the caller could lose the response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a response says about the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Persistence {
    /// The connection is closed after the response.
    Close,
    /// The caller may use the connection again, after it has been idle for no longer than
    /// this; `None` if no time is announced.
    KeepAlive(Option<DurationMs>),
}

/// Writes a response; fails if the caller does not read it in time. It has until the
/// requests of its connection have reached their time limits, and longer while it reads.
pub(super) async fn write_response(
    write_half: &mut OwnedWriteHalf,
    response: &Response,
    persistence: Persistence,
    reading_time: &ReadingTime,
) -> io::Result<()> {
    let status = http::StatusCode::from_u16(response.status)
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut out = Vec::with_capacity(512);
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(status.as_str().as_bytes());
    out.push(b' ');
    out.extend_from_slice(status.canonical_reason().unwrap_or("").as_bytes());
    out.extend_from_slice(b"\r\n");
    write_headers(&mut out, &response.headers);
    match persistence {
        Persistence::Close => write_header(&mut out, "connection", b"close"),
        Persistence::KeepAlive(Some(idle_ms)) => {
            let parameters = format!("timeout={}", idle_ms.0 / 1_000);
            write_header(&mut out, "connection", b"keep-alive");
            write_header(&mut out, "keep-alive", parameters.as_bytes());
        }
        Persistence::KeepAlive(None) => {}
    }
    let has_no_body = response.status == 204 || response.status == 304;
    if !has_no_body && !response.is_head_response {
        let length = response.body.len().to_string();
        write_header(&mut out, "content-length", length.as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    let mut body = Bytes::new();
    if !has_no_body && !response.is_head_response {
        body = response.body.clone();
    }
    // The body is not copied behind the head, since it may be large.
    let mut out = Bytes::from(out).chain(body);
    let mut give_up_at = reading_time.until().max(Instant::now() + WRITE_TIMEOUT);
    let mut progress_bytes = 0;
    while out.has_remaining() {
        let written = tokio::time::timeout_at(give_up_at, write_half.write_buf(&mut out));
        let written_bytes = written.await.map_err(|_| io::ErrorKind::TimedOut)??;
        if written_bytes == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        progress_bytes += written_bytes;
        if progress_bytes >= PROGRESS_BYTES {
            progress_bytes = 0;
            give_up_at = give_up_at.max(Instant::now() + WRITE_TIMEOUT);
        }
    }
    Ok(())
}

/// Shuts down the write half and waits until the caller closes the connection, or until
/// its requests have reached their time limits: it may still be reading. `in_flight`, the
/// guard of the last response, keeps a stopping process for [`CLOSE_TIMEOUT`] at most.
pub(super) async fn close_gracefully(
    mut read_half: OwnedReadHalf,
    mut write_half: OwnedWriteHalf,
    reading_time: &ReadingTime,
    in_flight: Option<InFlightGuard>,
) {
    if write_half.shutdown().await.is_err() {
        return;
    }
    let mut sink = [0; 1_024];
    let drained = async {
        while let Ok(length) = read_half.read(&mut sink).await {
            if length == 0 {
                return;
            }
        }
    };
    let mut drained = std::pin::pin!(drained);
    let closed = tokio::time::timeout(CLOSE_TIMEOUT, drained.as_mut()).await;
    drop(in_flight);
    if closed.is_err() {
        // After this, the connection is closed in any case.
        let _ = tokio::time::timeout_at(reading_time.until(), drained).await;
    }
}
