//! Accepts the connections of the targets, passes their requests to the state
//! thread and performs the actions that it returns.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::Sender;
use http::Request;
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::sync::watch;

use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use crate::common::CloseReason;
use crate::common::HandlerResult;
use crate::common::serve_connection;
use crate::common::unix_now;

use super::relay::PIPE_BYTES;
use super::relay::relay;
use super::tables::Event;
use super::tables::OutgoingResponse;
use super::tables::RequestAction;
use super::tables::TargetIndex;

/// The delay after a failed accept or bind, for instance when the process has
/// run out of file descriptors.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The listen backlog: the maximum number of connections that wait to be
/// accepted.
const BACKLOG: u32 = 1024;

/// The address of a target, which stays reserved while the target refuses
/// connections.
#[derive(Debug)]
pub(super) struct BoundTarget {
    /// The bound address.
    pub(super) address: SocketAddr,
    /// A socket that is bound but doesn't listen. It keeps the port reserved,
    /// and the kernel refuses connections while no listener shares the port.
    _reserved: TcpSocket,
}

fn bind_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Reserves the address of a target.
pub(super) fn bind_target(address: SocketAddr) -> io::Result<BoundTarget> {
    let reserved = bind_socket(address)?;
    Ok(BoundTarget {
        address: reserved.local_addr()?,
        _reserved: reserved,
    })
}

/// Starts to listen at the address of a target.
pub(super) fn listen(bound: &BoundTarget) -> io::Result<TcpListener> {
    bind_socket(bound.address)?.listen(BACKLOG)
}

/// Accepts the connections of a target. While `down_until` is in the future,
/// the listener is closed and connections are refused.
pub(super) async fn run_target(
    target: TargetIndex,
    bound: BoundTarget,
    listener: TcpListener,
    events: Sender<Event>,
    mut down_until: watch::Receiver<TimeMs>,
) {
    let mut listener = Some(listener);
    loop {
        let down_for = down_until.borrow_and_update().since(unix_now());
        if down_for > DurationMs(0) {
            if listener.take().is_some() {
                // The send fails only when the stand-in stops.
                let _ = events.send(Event::ListenerClosed { target });
            }
            tokio::time::sleep(Duration::from_millis(down_for.0)).await;
            continue;
        }
        let Some(open) = listener.as_ref() else {
            listener = listen(&bound).ok();
            if listener.is_none() {
                tokio::time::sleep(SOCKET_RETRY_DELAY).await;
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => match accepted {
                Ok((socket, _)) => {
                    tokio::spawn(run_connection(target, socket, events.clone()));
                }
                Err(_) => tokio::time::sleep(SOCKET_RETRY_DELAY).await,
            },
            changed = down_until.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn run_connection(target: TargetIndex, socket: TcpStream, events: Sender<Event>) {
    // If this fails, small responses may be delayed by Nagle's algorithm.
    let _ = socket.set_nodelay(true);
    let (reply, opened) = oneshot::channel();
    if events.send(Event::Opened { target, reply }).is_err() {
        return;
    }
    let Ok(opened) = opened.await else {
        return;
    };
    let connection = opened.connection;
    let is_sent_twice = Arc::new(AtomicBool::new(false));
    let (service_end, relay_end) = tokio::io::duplex(PIPE_BYTES);
    let handler = {
        let events = events.clone();
        let is_sent_twice = is_sent_twice.clone();
        move |request| handle_request(connection, request, events.clone(), is_sent_twice.clone())
    };
    tokio::spawn(serve_connection(service_end, handler));
    relay(socket, relay_end, opened.fault_updates, is_sent_twice).await;
    // The send fails only when the stand-in stops.
    let _ = events.send(Event::Ended { connection });
}

async fn handle_request(
    connection: u64,
    request: Request<Bytes>,
    events: Sender<Event>,
    is_sent_twice: Arc<AtomicBool>,
) -> HandlerResult {
    let (reply, action) = oneshot::channel();
    let event = Event::Arrived {
        connection,
        request: Box::new(request),
        reply,
    };
    events.send(event).map_err(|_| CloseReason::Stopped)?;
    match action.await.map_err(|_| CloseReason::Stopped)? {
        RequestAction::Respond(answer) => send_response(answer, &is_sent_twice).await,
        RequestAction::Run { run, for_ms, end } => {
            pause(for_ms).await;
            let (reply, ended) = oneshot::channel();
            let event = Event::RunEnded { run, end, reply };
            events.send(event).map_err(|_| CloseReason::Stopped)?;
            let answer = ended.await.map_err(|_| CloseReason::ByFault)?;
            send_response(answer, &is_sent_twice).await
        }
        RequestAction::Hang => std::future::pending().await,
    }
}

async fn send_response(answer: OutgoingResponse, is_sent_twice: &AtomicBool) -> HandlerResult {
    pause(answer.late_ms).await;
    is_sent_twice.store(answer.is_sent_twice, Ordering::Relaxed);
    Ok(answer.response.map(Full::new))
}

async fn pause(duration: DurationMs) {
    if duration > DurationMs(0) {
        tokio::time::sleep(Duration::from_millis(duration.0)).await;
    }
}
