//! Listeners, and the requests and responses of their connections.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::connection::run_connection;
use super::http1::RequestHead;
use super::memory::MemoryHold;
use super::shared::InFlightGuard;
use super::traffic::TrafficState;

/// The pause after a failed `accept`, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The listen backlog.
const LISTEN_BACKLOG: u32 = 1_024;

/// What a listening address serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Endpoint {
    /// Caller requests, which are forwarded to targets.
    Callers,
    /// Lookups of the daemon addresses that callers use.
    Directory,
    /// Readiness checks.
    Readiness,
    /// Metrics scrapes.
    Metrics,
    /// Requests of other daemons for the contents of the store.
    Daemons,
}

/// A completely received request.
pub(super) struct IncomingRequest {
    /// The address of the caller, without the port.
    pub(super) caller: IpAddr,
    /// The head.
    pub(super) head: RequestHead,
    /// The body.
    pub(super) body: Bytes,
    /// When the head was received completely.
    pub(super) arrived_at: Instant,
    /// Holds the memory of the body until the request has ended.
    pub(super) _body_memory: MemoryHold,
    /// The size that is expected of the response; 0 if it is not known.
    pub(super) expected_response_bytes: usize,
    /// Holds the memory of the response, first that of the expected size.
    pub(super) response_memory: MemoryHold,
}

/// A complete response.
pub(super) struct Response {
    /// The status.
    pub(super) status: u16,
    /// The headers, except `connection` and `content-length`.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
    /// Whether this is the response to a HEAD request, which is sent without a body
    /// and without `content-length`.
    pub(super) is_head_response: bool,
    /// Counts the request as in flight until the response is written; `None` if no
    /// request is counted.
    pub(super) in_flight: Option<InFlightGuard>,
    /// Holds the memory of the body until the response is written; `None` if it is not
    /// counted.
    pub(super) memory: Option<MemoryHold>,
}

/// Binds a listening address. `SO_REUSEADDR` allows an address that another process
/// has just released.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections until the task is cancelled.
pub(super) async fn accept(state: Rc<TrafficState>, listener: TcpListener, endpoint: Endpoint) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let state = Rc::clone(&state);
                state.shutdown.count_connection(endpoint);
                tokio::task::spawn_local(async move {
                    run_connection(&state, stream, peer.ip(), endpoint).await;
                    state.shutdown.count_close(endpoint);
                });
            }
            Err(error) => {
                metrics::counter!("agatehold_accept_errors_total").increment(1);
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
