//! The pool of connections to targets.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::traffic::TcpTimeouts;
use crate::traffic::set_socket_options;

/// The timeout for opening a connection. The round-trip time between hosts is a few
/// milliseconds, so a longer wait means that the host is unreachable or the first
/// packet was lost; the request can then go to another target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How soon a dead connection to a target is detected. The user timeout holds while
/// nothing larger than [`SMALL_REQUEST_BYTES`] is sent.
const TCP_TIMEOUTS: TcpTimeouts = TcpTimeouts {
    keepalive_interval: Duration::from_secs(1),
    user_timeout: Duration::from_secs(2),
};

/// The length up to which a request fits into the receive window of a target that reads
/// nothing. Unacknowledged bytes then mean a dead path. Those of a longer request may also
/// mean that the target pauses while it reads; the kernel applies `TCP_USER_TIMEOUT` to a
/// closed window too, so that a pause of 2 s would end the request.
const SMALL_REQUEST_BYTES: usize = 16 * 1024;

/// Connections that have been idle for longer are closed, unless the target announces a
/// longer idle time. Half of the shortest idle timeout of the targets.
pub(super) const IDLE_MAX: Duration = Duration::from_secs(4);

/// How long an idle connection is trusted whose target announces no idle time.
const UNANNOUNCED_TRUST: Duration = Duration::from_millis(400);

/// The number of idle connections to one target address until a limit is set.
const IDLE_CONNECTIONS_DEFAULT: usize = 8;

/// Which connection an attempt used, for logs: its number in this process, and the
/// number of requests that it had carried before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ConnectionUse {
    pub(super) number: u64,
    pub(super) earlier_requests: u32,
}

impl fmt::Display for ConnectionUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.number, self.earlier_requests)
    }
}

/// A connection to a target.
pub(super) struct TargetStream {
    pub(super) stream: TcpStream,
    /// Received bytes that have not been parsed yet.
    pub(super) buffer: BytesMut,
    /// The time after which the connection is not reused: the end of the keep-alive
    /// time that the target announced, or [`IDLE_MAX`] after the last use.
    pub(super) usable_until: Instant,
    /// How long the target keeps idle connections, if it has announced that.
    pub(super) announced: Option<Duration>,
    /// The connection's number and the requests that it has carried.
    pub(super) connection_use: ConnectionUse,
    idle_since: Instant,
    /// Whether the target may pause while it reads the request on the connection.
    allows_pauses: bool,
}

impl TargetStream {
    /// Takes over what the last response announced. An earlier announcement counts as long
    /// as there is no other.
    pub(super) fn record_use(&mut self, announced: Option<Duration>) {
        self.announced = announced.or(self.announced);
        self.usable_until = Instant::now() + self.announced.unwrap_or(IDLE_MAX);
    }

    /// Lets the target pause while it reads a request of `length` bytes, if it may have to.
    /// [`Self::end_pauses`] takes that back. Meanwhile only the request's deadline limits
    /// the pauses.
    ///
    /// A limit would count from the wrong time: the kernel may keep when it first probed
    /// the closed window of an earlier request on the connection.
    pub(super) fn allow_pauses(&mut self, length: usize) -> io::Result<()> {
        if length <= SMALL_REQUEST_BYTES {
            return Ok(());
        }
        self.allows_pauses = true;
        self.set_user_timeout(None)
    }

    /// Lets unacknowledged bytes end the connection soon again, as at its opening.
    pub(super) fn end_pauses(&mut self) -> io::Result<()> {
        if !std::mem::take(&mut self.allows_pauses) {
            return Ok(());
        }
        self.set_user_timeout(Some(TCP_TIMEOUTS.user_timeout))
    }

    /// Sets `TCP_USER_TIMEOUT`; `None` for the kernel's own limit of many minutes.
    fn set_user_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        SockRef::from(&self.stream).set_tcp_user_timeout(timeout)
    }

    /// Returns whether a request that must not run twice may be written on the connection:
    /// an older one may be dead or about to be closed, unless its target has announced how
    /// long it keeps it.
    fn is_trusted(&self) -> bool {
        self.announced.is_some() || self.rested() <= UNANNOUNCED_TRUST
    }

    /// Returns how long the connection has been idle.
    pub(super) fn rested(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns whether the connection stays open, and receives nothing, for `duration`.
    pub(super) async fn stays_open(&self, duration: Duration) -> bool {
        let until = Instant::now() + duration;
        while let Ok(readable) = tokio::time::timeout_at(until, self.stream.readable()).await {
            // The socket may be reported as readable although nothing has arrived.
            if readable.is_err() || !self.is_reusable() {
                return false;
            }
        }
        true
    }

    /// Returns whether the connection is open and has received nothing while idle.
    /// Bytes that arrive without a pending request make the connection unusable.
    fn is_reusable(&self) -> bool {
        let mut probe = [0; 1];
        let read = self.stream.try_read(&mut probe);
        matches!(&read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Why no connection to a target could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OpenError {
    /// The host answers, but no process listens at the address.
    Refused,
    /// The host can't be reached.
    Failed,
    /// The host does not answer.
    TimedOut,
    /// The options of the socket could not be set.
    SocketOptions,
}

impl OpenError {
    /// Returns a description for the log.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "connection refused by the target's host",
            Self::Failed => "connecting to the target failed",
            Self::TimedOut => "connecting to the target timed out",
            Self::SocketOptions => "setting socket options failed",
        }
    }
}

/// The idle connections by target address, most recently used last.
pub(super) struct TargetPool {
    /// The number of connections opened so far.
    opened: u64,
    idle: HashMap<SocketAddr, Vec<TargetStream>>,
    /// The maximum number of idle connections to one target address.
    idle_connections_max: usize,
}

impl Default for TargetPool {
    fn default() -> Self {
        Self {
            opened: 0,
            idle: HashMap::new(),
            idle_connections_max: IDLE_CONNECTIONS_DEFAULT,
        }
    }
}

impl TargetPool {
    /// Sets the maximum number of idle connections to one target address.
    pub(super) fn set_idle_connections_max(&mut self, idle_connections_max: usize) {
        self.idle_connections_max = idle_connections_max;
    }

    /// Takes the most recently used connection that is still usable and, with a limit,
    /// has been idle for at most `idle_max`.
    pub(super) fn take(
        &mut self,
        address: SocketAddr,
        idle_max: Option<Duration>,
        idempotent: bool,
    ) -> Option<TargetStream> {
        let idle_connections = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = idle_connections.pop() {
            // The end of the keep-alive time may differ between connections, so that an expired
            // connection says nothing about those that were used before.
            if now >= connection.usable_until {
                continue;
            }
            let is_distrusted =
                idle_max.is_some_and(|idle_max| now - connection.idle_since > idle_max);
            if is_distrusted || !(idempotent || connection.is_trusted()) {
                // The remaining connections have been idle for even longer. They are left
                // for requests without a limit.
                idle_connections.push(connection);
                return None;
            }
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Numbers a new connection.
    pub(super) fn count_opened(&mut self, connection: &mut TargetStream) {
        self.opened += 1;
        connection.connection_use.number = self.opened;
    }

    /// Returns a connection that has carried a request to the pool for reuse.
    pub(super) fn put(&mut self, address: SocketAddr, mut connection: TargetStream) {
        connection.idle_since = Instant::now();
        self.put_unused(address, connection);
    }

    /// Returns a connection to the pool on which nothing was written since it was taken or
    /// opened: for the target it has been idle all the while.
    pub(super) fn put_unused(&mut self, address: SocketAddr, connection: TargetStream) {
        let idle_connections = self.idle.entry(address).or_default();
        if idle_connections.len() < self.idle_connections_max {
            // The last one is that used most recently.
            let used_before = |other: &TargetStream| other.idle_since <= connection.idle_since;
            let position = idle_connections.partition_point(used_before);
            idle_connections.insert(position, connection);
        }
    }

    /// Closes the idle connections to an address, for example after its target
    /// crashed.
    pub(super) fn close_address(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes connections that have been idle for too long, have received unexpected
    /// bytes, or were closed by the target.
    pub(super) fn close_idle(&mut self) {
        let now = Instant::now();
        for idle_connections in self.idle.values_mut() {
            idle_connections
                .retain(|connection| now < connection.usable_until && connection.is_reusable());
        }
        self.idle
            .retain(|_, idle_connections| !idle_connections.is_empty());
    }
}

/// Opens a connection to a target.
pub(super) async fn open(
    address: SocketAddr,
    deadline: Instant,
) -> Result<TargetStream, OpenError> {
    let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = match tokio::time::timeout_at(until, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(OpenError::Refused);
        }
        Ok(Err(_)) => return Err(OpenError::Failed),
        Err(_) => return Err(OpenError::TimedOut),
    };
    if set_socket_options(&stream, TCP_TIMEOUTS).is_err() {
        return Err(OpenError::SocketOptions);
    }
    let now = Instant::now();
    Ok(TargetStream {
        stream,
        buffer: BytesMut::new(),
        usable_until: now + IDLE_MAX,
        announced: None,
        connection_use: ConnectionUse::default(),
        idle_since: now,
        allows_pauses: false,
    })
}
