//! Connections to targets, and the memory of what is read from them.

use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::traffic::Liveness;
use crate::traffic::set_socket_options;

/// The longest time that opening a connection may take. Hosts are a few
/// milliseconds apart, so a longer wait means that the host is unreachable or
/// the first packet was lost; the request goes to another target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How soon a silent connection is noticed while a request is sent on it.
const LIVENESS: Liveness = Liveness {
    keepalive_after: Duration::from_secs(1),
    user_timeout: Duration::from_secs(2),
};

/// Idle connections older than this are closed; half of the shortest time
/// after which targets close them.
pub(super) const IDLE_MAX: Duration = Duration::from_secs(4);

/// The connections kept idle to one target.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// The size of all bodies that are being read; where it is spent, those over
/// [`FAIR_BODY_BYTES`] are cut.
const BODIES_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The size up to which a body is read though the others have spent the memory.
const FAIR_BODY_BYTES: usize = 128 * 1024;

/// A connection to a target.
pub(super) struct TargetStream {
    pub(super) stream: TcpStream,
    /// Bytes that were received and belong to no answer yet.
    pub(super) buffer: BytesMut,
    /// Until when the connection may be used again.
    pub(super) usable_until: Instant,
    idle_since: Instant,
}

impl TargetStream {
    /// Returns whether the connection is open and brought nothing: a byte that
    /// comes in while nothing is asked belongs to no request.
    fn is_quiet(&self) -> bool {
        let mut probe = [0; 1];
        let read = self.stream.try_read(&mut probe);
        matches!(&read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The idle connections by target address.
#[derive(Default)]
pub(super) struct TargetPool {
    idle: HashMap<SocketAddr, Vec<TargetStream>>,
    /// The size of the bodies that are being read.
    bodies_bytes: Rc<Cell<usize>>,
}

/// The part of one body in the size of all; gives it back when it is dropped, also
/// where the attempt is cancelled.
pub(super) struct BodyBytes {
    all: Rc<Cell<usize>>,
    own: usize,
}

impl BodyBytes {
    /// Sets the size of the own body; returns whether there is memory for it.
    pub(super) fn set(&mut self, own: usize) -> bool {
        self.all.set(self.all.get() - self.own + own);
        self.own = own;
        self.own <= FAIR_BODY_BYTES || self.all.get() <= BODIES_BYTES_MAX
    }
}

impl Drop for BodyBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl TargetPool {
    /// Takes the connection that was used last, if it is still good.
    pub(super) fn take(&mut self, address: SocketAddr, idle_max: Duration) -> Option<TargetStream> {
        let waiting = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = waiting.pop() {
            if now >= connection.usable_until || now - connection.idle_since > idle_max {
                // Those below were idle for longer still.
                if idle_max >= IDLE_MAX {
                    waiting.clear();
                } else {
                    waiting.push(connection);
                }
                return None;
            }
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for later requests.
    pub(super) fn put(&mut self, address: SocketAddr, mut connection: TargetStream) {
        connection.idle_since = Instant::now();
        let waiting = self.idle.entry(address).or_default();
        if waiting.len() < IDLE_CONNECTIONS_MAX {
            waiting.push(connection);
        }
    }

    /// Returns the part of a body that is read now.
    pub(super) fn body_bytes(&self) -> BodyBytes {
        BodyBytes {
            all: Rc::clone(&self.bodies_bytes),
            own: 0,
        }
    }

    /// Closes the idle connections to an address, as when a target ended.
    pub(super) fn close_address(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes connections that were idle for too long, that brought bytes or that
    /// the target has closed.
    pub(super) fn close_idle(&mut self) {
        let now = Instant::now();
        for waiting in self.idle.values_mut() {
            waiting.retain(|connection| {
                now < connection.usable_until
                    && now - connection.idle_since <= IDLE_MAX
                    && connection.is_quiet()
            });
        }
        self.idle.retain(|_, waiting| !waiting.is_empty());
    }
}

/// Opens a connection to a target.
pub(super) async fn open(
    address: SocketAddr,
    deadline: Instant,
) -> Result<TargetStream, &'static str> {
    let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = match tokio::time::timeout_at(until, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Err("connection refused"),
        Err(_) => return Err("connecting timed out"),
    };
    if set_socket_options(&stream, LIVENESS).is_err() {
        return Err("socket options failed");
    }
    let now = Instant::now();
    Ok(TargetStream {
        stream,
        buffer: BytesMut::new(),
        usable_until: now + Duration::from_secs(3_600),
        idle_since: now,
    })
}
