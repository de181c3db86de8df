//! Connections to targets and to other daemons.

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

/// Idle connections older than this are closed, since a middlebox may have
/// dropped its state for them without a sign.
pub(crate) const IDLE_MAX_MS: DurationMs = DurationMs(5_000);

/// A non-idempotent request is not sent on a connection idle for longer: it
/// could be lost on a silent connection, and a new one costs about 1 ms.
pub(crate) const IDLE_MAX_NON_IDEMPOTENT_MS: DurationMs = DurationMs(500);

/// How soon TCP notices a connection that went silent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Liveness {
    /// The time after which TCP probes an idle connection, and then the time
    /// between two probes.
    pub(crate) keepalive_after: Duration,
    /// The time after which TCP gives up on unacknowledged data and probes.
    pub(crate) user_timeout: Duration,
}

/// The times for connections of callers and to targets.
pub(crate) const TRAFFIC_LIVENESS: Liveness = Liveness {
    keepalive_after: Duration::from_secs(5),
    user_timeout: Duration::from_secs(10),
};

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    /// The sending half.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// How long the connection was idle when it was taken; `None` if new.
    pub(crate) idle_ms: Option<DurationMs>,
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr, liveness: Liveness) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        set_socket_options(&stream, liveness)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // Errors reach the request that waits on the connection.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver,
            idle_ms: None,
        })
    }

    /// Closes the connection at once, which cancels its request.
    pub(crate) fn close(self) {
        self.driver.abort();
    }

    /// Splits the connection into its sending half and what closes it.
    pub(crate) fn into_parts(self) -> (SendRequest<Full<Bytes>>, ConnectionCloser) {
        let closer = ConnectionCloser {
            driver: self.driver,
        };
        (self.sender, closer)
    }
}

/// Closes a connection whose sending half is in use.
pub(crate) struct ConnectionCloser {
    driver: JoinHandle<()>,
}

impl ConnectionCloser {
    /// Closes the connection at once.
    pub(crate) fn close(self) {
        self.driver.abort();
    }
}

/// Sets what makes a dead connection fail instead of hanging.
pub(crate) fn set_socket_options(stream: &TcpStream, liveness: Liveness) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(liveness.keepalive_after)
        .with_interval(liveness.keepalive_after);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(liveness.user_timeout))
}

/// A connection that waits for its next request.
struct IdleConnection {
    connection: Connection,
    since: TimeMs,
}

/// The idle connections of one traffic thread by address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
}

impl Pool {
    /// Takes the connection that was used last, if it was idle for at most
    /// `idle_max_ms`.
    pub(crate) fn take(
        &mut self,
        address: SocketAddr,
        now: TimeMs,
        idle_max_ms: DurationMs,
    ) -> Option<Connection> {
        let waiting = self.idle.get_mut(&address)?;
        while let Some(idle) = waiting.pop() {
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

    /// Keeps a connection whose last request ended cleanly.
    pub(crate) fn put(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        now: TimeMs,
        connections_max: usize,
    ) {
        let waiting = self.idle.entry(address).or_default();
        if connection.sender.is_closed() || waiting.len() >= connections_max {
            connection.close();
            return;
        }
        waiting.push(IdleConnection {
            connection,
            since: now,
        });
    }

    /// Closes the idle connections to an address, as when one of them proved
    /// to be silent.
    pub(crate) fn close_address(&mut self, address: SocketAddr) {
        for idle in self.idle.remove(&address).unwrap_or_default() {
            idle.connection.close();
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn close_idle(&mut self, now: TimeMs) {
        for waiting in self.idle.values_mut() {
            let mut kept = Vec::with_capacity(waiting.len());
            for idle in waiting.drain(..) {
                if now.since(idle.since) > IDLE_MAX_MS {
                    idle.connection.close();
                    continue;
                }
                kept.push(idle);
            }
            *waiting = kept;
        }
        self.idle.retain(|_, waiting| !waiting.is_empty());
    }

    /// Closes all connections.
    pub(crate) fn close(self) {
        for waiting in self.idle.into_values() {
            for idle in waiting {
                idle.connection.close();
            }
        }
    }
}
