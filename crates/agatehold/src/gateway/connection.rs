//! Serves one connection. Pipelined requests are read ahead and answered in order.

use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http::header;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::oneshot;
use tokio::time::Instant;

use agatehold_core::dispatch::StopPhase;
use agatehold_core::dispatch::announced_keep_alive;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::units::DurationMs;

use crate::clock::duration;
use crate::traffic::TcpTimeouts;
use crate::traffic::set_socket_options;

use super::endpoint::Endpoint;
use super::endpoint::IncomingRequest;
use super::endpoint::Response;
use super::http1::BodyCollector;
use super::http1::HttpError;
use super::http1::RequestHead;
use super::http1::take_request_head;
use super::memory::ConnectionMemory;
use super::memory::MemoryHold;
use super::memory::MemoryKind;
use super::pending::ConnectionEnd;
use super::pending::PendingRequests;
use super::reading_time::ReadingTime;
use super::serve;
use super::serve::request_id;
use super::traffic::TrafficState;
use super::write::Persistence;
use super::write::close_gracefully;
use super::write::write_response;

/// How soon a dead connection of a caller is detected. [`ReadingTime`] raises the user
/// timeout for requests with a longer time limit.
const TCP_TIMEOUTS: TcpTimeouts = TcpTimeouts {
    keepalive_interval: Duration::from_secs(5),
    user_timeout: Duration::from_secs(10),
};

/// The maximum number of requests of one connection that are handled concurrently.
const PIPELINED_MAX: usize = 16;

/// Reading pauses when this many unparsed bytes are buffered while no body is
/// being read.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// The free buffer space that is reserved before each read.
const READ_BYTES: usize = 4 * 1024;

/// The maximum time between two reads of a request body.
const BODY_PART_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum time for reading the body of a request that matches no route. That of
/// others is their time limit.
const UNROUTED_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request whose body is being read.
struct IncompleteRequest {
    head: RequestHead,
    body: BodyCollector,
    arrived_at: Instant,
    memory: MemoryHold,
    /// When the body must be complete: an answer after the request's time limit would
    /// be of no use.
    body_deadline: Instant,
    /// Whether the caller waits for an interim response before it sends the body.
    awaits_continue: bool,
}

/// The state of reading requests from a connection.
struct ReadState {
    /// The address of the caller.
    caller: IpAddr,
    /// The memory that is held for this connection.
    memory: ConnectionMemory,
    buffer: BytesMut,
    /// The request whose body is being read.
    current: Option<IncompleteRequest>,
    /// Whether the request that is being read is a HEAD request, to which no body is
    /// sent, not even with a refusal.
    reads_head_request: bool,
    /// When an incomplete head was first seen in the buffer.
    incomplete_head_since: Option<Instant>,
    /// When the connection was opened or the last response was written.
    idle_since: Instant,
    /// Whether no further requests are parsed.
    parsing_ended: bool,
    /// Whether the connection knows that the daemon closes it.
    is_closing: bool,
    /// The time that the caller has to read the responses.
    reading_time: ReadingTime,
}

/// Serves a connection until it ends.
pub(super) async fn run_connection(
    state: &Rc<TrafficState>,
    stream: TcpStream,
    caller: IpAddr,
    endpoint: Endpoint,
) {
    if set_socket_options(&stream, TCP_TIMEOUTS).is_err() {
        return;
    }
    let (mut read_half, mut write_half) = stream.into_split();
    let mut read_state = ReadState {
        caller,
        memory: state.memory.open_connection(),
        buffer: BytesMut::new(),
        current: None,
        reads_head_request: false,
        incomplete_head_since: None,
        idle_since: Instant::now(),
        parsing_ended: false,
        is_closing: false,
        reading_time: ReadingTime::new(TCP_TIMEOUTS.user_timeout),
    };
    let closing = state.shutdown.reached(StopPhase::Closing);
    let mut closing = std::pin::pin!(closing);
    let mut pending = PendingRequests::new();
    loop {
        let (read, write) = (&mut read_state, &mut write_half);
        start_requests(state, read, &mut pending, endpoint, write).await;
        let is_wanted = read_state.buffer.len() < READ_AHEAD_BYTES || read_state.current.is_some();
        // Once the earlier responses are written, the request that is being read is alone.
        let can_read = is_wanted && (pending.is_empty() || read_state.memory.has_room_for(0));
        let timeout = match can_read || pending.is_empty() {
            true => read_deadline(state, &read_state, pending.is_empty()),
            // What has not come may wait in the socket.
            false => None,
        };
        read_state.buffer.reserve(READ_BYTES);
        tokio::select! {
            biased;
            response = pending.next_response(), if !pending.is_empty() => {
                let Some(mut response) = response else {
                    pending.close(ConnectionEnd::NoResponse);
                    return;
                };
                if is_stopping(state, endpoint) && pending.is_last() {
                    // Requests that have arrived meanwhile are answered before the
                    // connection is closed. If reading fails, so will writing.
                    let _ = read_half.try_read_buf(&mut read_state.buffer);
                    let (read, write) = (&mut read_state, &mut write_half);
                    start_requests(state, read, &mut pending, endpoint, write).await;
                    read_state.parsing_ended |= pending.is_last();
                }
                let persistence = if read_state.parsing_ended && pending.is_last() {
                    Persistence::Close
                } else {
                    Persistence::KeepAlive(keep_alive(state, endpoint))
                };
                let time = &read_state.reading_time;
                let written = write_response(&mut write_half, &response, persistence, time).await;
                if let Err(error) = written {
                    pending.close(match error.kind() {
                        io::ErrorKind::TimedOut => ConnectionEnd::WriteTimedOut,
                        _ => ConnectionEnd::WriteFailed,
                    });
                    return;
                }
                pending.remove_written();
                if persistence == Persistence::Close {
                    // A request that was not started is dropped; the caller treats it
                    // as not processed and retries it.
                    pending.close(ConnectionEnd::ClosingResponse);
                    let in_flight = response.in_flight.take();
                    drop(response);
                    close_gracefully(read_half, write_half, &read_state.reading_time, in_flight)
                        .await;
                    return;
                }
                if let Persistence::KeepAlive(Some(idle_ms)) = persistence {
                    state.shutdown.note_kept_connection(idle_ms);
                }
                read_state.idle_since = Instant::now();
            }
            read = read_half.read_buf(&mut read_state.buffer), if can_read => match read {
                Ok(0) | Err(_) => {
                    pending.close(ConnectionEnd::CallerLeft);
                    return;
                }
                Ok(_) => {}
            },
            () = closing.as_mut(), if !read_state.is_closing => {
                read_state.is_closing = true;
                if !pending.is_empty() {
                    continue;
                }
                if read_state.incomplete_head_since.is_none() && read_state.current.is_none() {
                    let time = &read_state.reading_time;
                    close_gracefully(read_half, write_half, time, None).await;
                    return;
                }
                refuse_incomplete(state, &mut read_state, &mut pending, RefusalKind::Stopping);
            }
            () = tokio::time::sleep_until(timeout.unwrap_or_else(Instant::now)),
                if timeout.is_some() =>
            {
                if read_state.incomplete_head_since.is_none() && read_state.current.is_none() {
                    let time = &read_state.reading_time;
                    close_gracefully(read_half, write_half, time, None).await;
                    return;
                }
                refuse_incomplete(state, &mut read_state, &mut pending, RefusalKind::SlowSender);
            }
        }
    }
}

/// Returns whether a connection ends as soon as what has been read is answered, because
/// the daemon is shutting down.
fn is_stopping(state: &TrafficState, endpoint: Endpoint) -> bool {
    endpoint == Endpoint::Callers && state.shared.stopping_since().is_some()
}

/// Returns for how long the caller is told to keep the connection; `None` if nothing is
/// announced, as by a stopping daemon, which closes it with a later answer.
fn keep_alive(state: &TrafficState, endpoint: Endpoint) -> Option<DurationMs> {
    if endpoint != Endpoint::Callers || is_stopping(state, endpoint) {
        return None;
    }
    announced_keep_alive(state.limits().idle_timeout_ms)
}

/// Returns the time by which further bytes must arrive; `None` if there is no
/// limit.
fn read_deadline(state: &TrafficState, read_state: &ReadState, is_idle: bool) -> Option<Instant> {
    if read_state.parsing_ended {
        return None;
    }
    if let Some(current) = &read_state.current {
        return Some(
            current
                .body_deadline
                .min(Instant::now() + BODY_PART_TIMEOUT),
        );
    }
    let limits = state.limits();
    if let Some(since) = read_state.incomplete_head_since {
        return Some(since + duration(limits.head_timeout_ms));
    }
    if is_idle {
        return Some(read_state.idle_since + duration(limits.idle_timeout_ms));
    }
    None
}

/// Starts the complete requests in the buffer, and refuses what can't be parsed.
async fn start_requests(
    state: &Rc<TrafficState>,
    read_state: &mut ReadState,
    pending: &mut PendingRequests,
    endpoint: Endpoint,
    write_half: &mut OwnedWriteHalf,
) {
    let started = parse_and_start(state, read_state, pending, endpoint, write_half).await;
    if let Err(kind) = started {
        read_state.parsing_ended = true;
        let is_head_request = read_state.reads_head_request;
        pending.push(None, ready_refusal(state, kind, is_head_request));
    }
}

/// Parses the complete requests in the buffer and starts them.
async fn parse_and_start(
    state: &Rc<TrafficState>,
    read_state: &mut ReadState,
    pending: &mut PendingRequests,
    endpoint: Endpoint,
    write_half: &mut OwnedWriteHalf,
) -> Result<(), RefusalKind> {
    loop {
        if let Some(incoming) = pending.deferred.take() {
            if !may_start(state, &incoming, &read_state.memory, pending, endpoint) {
                pending.deferred = Some(incoming);
                return Ok(());
            }
            read_state.parsing_ended = !incoming.head.keeps_alive;
            let id = request_id(&incoming.head);
            pending.push(id, start(state, incoming, endpoint));
        }
        if read_state.parsing_ended || pending.len() >= PIPELINED_MAX {
            return Ok(());
        }
        if read_state.current.is_none() {
            let limits = state.limits();
            if read_state.buffer.is_empty() {
                read_state.incomplete_head_since = None;
                return Ok(());
            }
            read_state.reads_head_request =
                read_state.buffer.trim_ascii_start().starts_with(b"HEAD ");
            let head_max = usize::try_from(limits.head_bytes.0).unwrap_or(usize::MAX);
            let Some(head) =
                take_request_head(&mut read_state.buffer, head_max).map_err(refusal_kind)?
            else {
                read_state
                    .incomplete_head_since
                    .get_or_insert_with(Instant::now);
                return Ok(());
            };
            read_state.incomplete_head_since = None;
            let body_max = usize::try_from(limits.body_bytes.0).unwrap_or(usize::MAX);
            let body = BodyCollector::new(head.framing, body_max).map_err(refusal_kind)?;
            let awaits_continue = expects_continue(&head) && read_state.buffer.is_empty();
            let body_timeout = serve::time_limit(state, &head);
            let arrived_at = Instant::now();
            if let Some(time_limit) = body_timeout {
                let stream = write_half.as_ref();
                let time_limit = duration(time_limit);
                read_state.reading_time.add(stream, arrived_at, time_limit);
            }
            read_state.current = Some(IncompleteRequest {
                head,
                body,
                arrived_at,
                body_deadline: arrived_at + body_timeout.map_or(UNROUTED_BODY_TIMEOUT, duration),
                memory: read_state.memory.hold(MemoryKind::Request),
                awaits_continue,
            });
        }
        let Some(mut current) = read_state.current.take() else {
            return Ok(());
        };
        let is_complete = current.body.take(&mut read_state.buffer);
        let is_complete = is_complete.map_err(refusal_kind)?;
        if !current.memory.resize(current.body.collected_bytes()) {
            metrics::counter!("agatehold_memory_refusals_total", "kind" => "request").increment(1);
            return Err(RefusalKind::MemoryFull);
        }
        if !is_complete {
            // The caller takes an interim response for a part of the first response
            // that is still due.
            if current.awaits_continue && pending.is_empty() {
                current.awaits_continue = false;
                // If the write fails, the connection fails on its next use.
                let _ = write_half.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            }
            read_state.current = Some(current);
            return Ok(());
        }
        let expected_response_bytes = match endpoint {
            Endpoint::Callers => serve::expected_response(state, &current.head),
            _ => 0,
        };
        pending.deferred = Some(IncomingRequest {
            caller: read_state.caller,
            head: current.head,
            body: current.body.into_bytes(),
            arrived_at: current.arrived_at,
            _body_memory: current.memory,
            expected_response_bytes,
            response_memory: read_state.memory.hold(MemoryKind::Read),
        });
    }
}

fn expects_continue(head: &RequestHead) -> bool {
    head.headers
        .get(header::EXPECT)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Returns whether a request may start now. A pipelined request starts while
/// earlier ones are pending only if it is idempotent: if an earlier response closes
/// the connection, the caller treats the request as not processed and retries it. It
/// waits while the connection has no room for its response.
fn may_start(
    state: &TrafficState,
    incoming: &IncomingRequest,
    memory: &ConnectionMemory,
    pending: &PendingRequests,
    endpoint: Endpoint,
) -> bool {
    pending.is_empty()
        || (endpoint == Endpoint::Callers
            && memory.has_room_for(incoming.expected_response_bytes)
            && state.is_idempotent(&incoming.head))
}

fn start(
    state: &Rc<TrafficState>,
    incoming: IncomingRequest,
    endpoint: Endpoint,
) -> oneshot::Receiver<Response> {
    let (response_sender, receiver) = oneshot::channel();
    if endpoint == Endpoint::Callers {
        // Counted before the request runs, so that those behind it see it. Whether it
        // is within the limits is decided when it is served.
        let expected_bytes = incoming.expected_response_bytes;
        incoming
            .response_memory
            .change(MemoryKind::Read, expected_bytes);
        // Counted before its task runs, so that the process does not exit in between.
        let in_flight = state.shared.count_request();
        let state = Rc::clone(state);
        tokio::task::spawn_local(async move {
            serve::handle(&state, incoming, response_sender, in_flight).await
        });
        return receiver;
    }
    let response = super::responses::respond(state, &incoming, endpoint);
    // The receiver still exists, so this can't fail.
    let _ = response_sender.send(response);
    receiver
}

fn ready_refusal(
    state: &Rc<TrafficState>,
    kind: RefusalKind,
    is_head_response: bool,
) -> oneshot::Receiver<Response> {
    let (response_sender, receiver) = oneshot::channel();
    let mut refusal = super::responses::refusal(state, kind, kind.outcome(), None, None);
    refusal.is_head_response = is_head_response;
    log::warn!("event=refused id=- kind={kind} reason=unreadable");
    // The receiver still exists, so this can't fail.
    let _ = response_sender.send(refusal);
    receiver
}

/// Refuses the request that is being read, and reads no further ones.
fn refuse_incomplete(
    state: &Rc<TrafficState>,
    read_state: &mut ReadState,
    pending: &mut PendingRequests,
    kind: RefusalKind,
) {
    read_state.parsing_ended = true;
    read_state.current = None;
    read_state.incomplete_head_since = None;
    read_state.buffer.clear();
    pending.push(
        None,
        ready_refusal(state, kind, read_state.reads_head_request),
    );
}

const fn refusal_kind(error: HttpError) -> RefusalKind {
    match error {
        HttpError::Malformed => RefusalKind::BadRequest,
        HttpError::HeadTooLarge => RefusalKind::HeadTooLarge,
        HttpError::BodyTooLarge => RefusalKind::BodyTooLarge,
        HttpError::AmbiguousLength => RefusalKind::AmbiguousFraming,
    }
}
