//! Connections to targets and other daemons, and the pool of idle ones.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

/// The maximum idle time of a pooled connection. A middlebox may silently drop
/// its state for a connection that is idle for longer.
pub(crate) const IDLE_MAX_MS: DurationMs = DurationMs(5_000);

/// The maximum idle time of a connection that carries a non-idempotent
/// request. The request could be lost on a connection that has gone silent,
/// and opening a new connection costs only about 1 ms.
pub(crate) const IDLE_MAX_NON_IDEMPOTENT_MS: DurationMs = DurationMs(500);

/// The TCP timeouts after which a silent connection is detected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TcpTimeouts {
    /// The idle time before the first keepalive probe, and the interval
    /// between probes.
    pub(crate) keepalive_interval: Duration,
    /// The time for which data or probes may stay unacknowledged before TCP
    /// closes the connection (`TCP_USER_TIMEOUT`).
    pub(crate) user_timeout: Duration,
}

/// The TCP timeouts of callers' connections and of connections to targets,
/// other daemons and the platform.
pub(crate) const TRAFFIC_TCP_TIMEOUTS: TcpTimeouts = TcpTimeouts {
    keepalive_interval: Duration::from_secs(5),
    user_timeout: Duration::from_secs(10),
};

/// An HTTP/1.1 client connection, which carries one request at a time.
pub(crate) struct Connection {
    /// The handle for sending requests.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// How long the connection had been idle when it was taken from the pool;
    /// `None` for a new connection.
    pub(crate) idle_ms: Option<DurationMs>,
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(
        address: SocketAddr,
        tcp_timeouts: TcpTimeouts,
    ) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        set_socket_options(&stream, tcp_timeouts)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // Errors are reported to the request in flight on the connection.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver,
            idle_ms: None,
        })
    }

    /// Closes the connection immediately, which cancels the request in flight.
    pub(crate) fn close(self) {
        self.driver.abort();
    }

    /// Splits the connection into the handle for sending requests and the
    /// handle for closing it.
    pub(crate) fn into_parts(self) -> (SendRequest<Full<Bytes>>, ConnectionCloser) {
        let closer = ConnectionCloser {
            driver: self.driver,
        };
        (self.sender, closer)
    }
}

/// Closes a connection whose sending handle is in use.
pub(crate) struct ConnectionCloser {
    driver: JoinHandle<()>,
}

impl ConnectionCloser {
    /// Closes the connection immediately.
    pub(crate) fn close(self) {
        self.driver.abort();
    }
}

/// Disables Nagle's algorithm and sets the TCP timeouts that make a dead
/// connection fail instead of hanging.
pub(crate) fn set_socket_options(
    stream: &TcpStream,
    tcp_timeouts: TcpTimeouts,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(tcp_timeouts.keepalive_interval)
        .with_interval(tcp_timeouts.keepalive_interval);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(tcp_timeouts.user_timeout))
}

/// A pooled connection and the time at which it became idle.
struct IdleConnection {
    connection: Connection,
    since: TimeMs,
}

/// The idle connections of one traffic thread, by address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
}

impl Pool {
    /// Takes the most recently used connection that is still usable and has
    /// been idle for at most `idle_max_ms`; closes those it skips.
    pub(crate) fn take(
        &mut self,
        address: SocketAddr,
        now: TimeMs,
        idle_max_ms: DurationMs,
    ) -> Option<Connection> {
        let idle_connections = self.idle.get_mut(&address)?;
        while let Some(idle) = idle_connections.pop() {
            let idle_ms = now.since(idle.since);
            if idle_ms > idle_max_ms || !idle.connection.sender.is_ready() {
                idle.connection.close();
                continue;
            }
            let mut connection = idle.connection;
            connection.idle_ms = Some(idle_ms);
            return Some(connection);
        }
        None
    }

    /// Returns a connection to the pool after a complete answer. Closes it if
    /// the pool has `idle_connections_max` connections to the address already.
    pub(crate) fn put(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        now: TimeMs,
        idle_connections_max: usize,
    ) {
        let idle_connections = self.idle.entry(address).or_default();
        if connection.sender.is_closed() || idle_connections.len() >= idle_connections_max {
            connection.close();
            return;
        }
        idle_connections.push(IdleConnection {
            connection,
            since: now,
        });
    }

    /// Closes the idle connections to an address; used when one of them turned
    /// out to be silent.
    pub(crate) fn close_address(&mut self, address: SocketAddr) {
        for idle in self.idle.remove(&address).unwrap_or_default() {
            idle.connection.close();
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&mut self, now: TimeMs) {
        for idle_connections in self.idle.values_mut() {
            let mut retained = Vec::with_capacity(idle_connections.len());
            for idle in idle_connections.drain(..) {
                if now.since(idle.since) > IDLE_MAX_MS {
                    idle.connection.close();
                    continue;
                }
                retained.push(idle);
            }
            *idle_connections = retained;
        }
        self.idle
            .retain(|_, idle_connections| !idle_connections.is_empty());
    }

    /// Closes all connections.
    pub(crate) fn close(self) {
        for idle_connections in self.idle.into_values() {
            for idle in idle_connections {
                idle.connection.close();
            }
        }
    }
}
