//! Accepts connections of the targets and carries out verdicts.

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

use crate::common::Closed;
use crate::common::Reply;
use crate::common::serve_connection;
use crate::common::unix_now;

use super::relay::PIPE_BYTES;
use super::relay::relay;
use super::tables::Answer;
use super::tables::Event;
use super::tables::TargetIndex;
use super::tables::Verdict;

/// The pause after a failed accept or bind, such as for want of descriptors.
const SOCKET_PAUSE: Duration = Duration::from_millis(20);

/// The length of the queue of connections to accept.
const BACKLOG: u32 = 1024;

/// The address of a target, kept while it refuses connections.
#[derive(Debug)]
pub(super) struct BoundTarget {
    /// The bound address.
    pub(super) address: SocketAddr,
    /// Bound and not listening: it keeps the port from other processes, and
    /// the kernel refuses connections while no listener shares the port.
    _reserved: TcpSocket,
}

fn bind_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Binds the address of a target.
pub(super) fn bind_target(address: SocketAddr) -> io::Result<BoundTarget> {
    let reserved = bind_socket(address)?;
    Ok(BoundTarget {
        address: reserved.local_addr()?,
        _reserved: reserved,
    })
}

/// Listens at the address of a target.
pub(super) fn listen(bound: &BoundTarget) -> io::Result<TcpListener> {
    bind_socket(bound.address)?.listen(BACKLOG)
}

/// Accepts connections of one target; there are none while `down_until` lies
/// ahead.
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
                // The owner of the tables is gone only when the double stops.
                let _ = events.send(Event::ListenerClosed { target });
            }
            tokio::time::sleep(Duration::from_millis(down_for.0)).await;
            continue;
        }
        let Some(open) = listener.as_ref() else {
            listener = listen(&bound).ok();
            if listener.is_none() {
                tokio::time::sleep(SOCKET_PAUSE).await;
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => match accepted {
                Ok((socket, _)) => {
                    tokio::spawn(run_connection(target, socket, events.clone()));
                }
                Err(_) => tokio::time::sleep(SOCKET_PAUSE).await,
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
    // A failure only means that small answers wait for an acknowledgement.
    let _ = socket.set_nodelay(true);
    let (reply, opened) = oneshot::channel();
    if events.send(Event::Opened { target, reply }).is_err() {
        return;
    }
    let Ok(opened) = opened.await else {
        return;
    };
    let connection = opened.connection;
    let is_double = Arc::new(AtomicBool::new(false));
    let (service_end, relay_end) = tokio::io::duplex(PIPE_BYTES);
    let handler = {
        let events = events.clone();
        let is_double = is_double.clone();
        move |request| answer_request(connection, request, events.clone(), is_double.clone())
    };
    tokio::spawn(serve_connection(service_end, handler));
    relay(socket, relay_end, opened.orders, is_double).await;
    // The owner of the tables is gone only when the double stops.
    let _ = events.send(Event::Ended { connection });
}

async fn answer_request(
    connection: u64,
    request: Request<Bytes>,
    events: Sender<Event>,
    is_double: Arc<AtomicBool>,
) -> Reply {
    let (reply, verdict) = oneshot::channel();
    let event = Event::Arrived {
        connection,
        request: Box::new(request),
        reply,
    };
    events.send(event).map_err(|_| Closed::Stopped)?;
    match verdict.await.map_err(|_| Closed::Stopped)? {
        Verdict::Answer(answer) => send_answer(answer, &is_double).await,
        Verdict::Run { run, for_ms, end } => {
            pause(for_ms).await;
            let (reply, ended) = oneshot::channel();
            let event = Event::RunEnded { run, end, reply };
            events.send(event).map_err(|_| Closed::Stopped)?;
            let answer = ended.await.map_err(|_| Closed::ByFault)?;
            send_answer(answer, &is_double).await
        }
        Verdict::Hang => std::future::pending().await,
    }
}

async fn send_answer(answer: Answer, is_double: &AtomicBool) -> Reply {
    pause(answer.late_ms).await;
    is_double.store(answer.is_double, Ordering::Relaxed);
    Ok(answer.response.map(Full::new))
}

async fn pause(duration: DurationMs) {
    if duration > DurationMs(0) {
        tokio::time::sleep(Duration::from_millis(duration.0)).await;
    }
}
