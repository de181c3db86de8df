//! The time that the caller of a connection has to read its responses.

use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// User timeouts are multiples of this, so that requests whose time limits differ a little
/// cost one system call.
const USER_TIMEOUT_STEP_S: u64 = 5;

/// The time that the requests of a connection leave its caller to read the responses. As
/// long as one of them is within its time limit, the connection is not given up.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadingTime {
    /// When the last of the requests reaches its time limit.
    until: Instant,
    /// The user timeout of the socket.
    user_timeout: Duration,
}

impl ReadingTime {
    /// Creates the state of a connection without requests, whose socket has the given
    /// user timeout.
    pub(super) fn new(user_timeout: Duration) -> Self {
        Self {
            until: Instant::now(),
            user_timeout,
        }
    }

    /// Adds a request that arrived at `arrived_at`. TCP also gives up a connection whose
    /// caller does not read, so the user timeout is raised if it is shorter than the time
    /// limit.
    pub(super) fn add(&mut self, stream: &TcpStream, arrived_at: Instant, time_limit: Duration) {
        self.until = self.until.max(arrived_at + time_limit);
        if time_limit <= self.user_timeout {
            return;
        }
        let steps = time_limit.as_secs() / USER_TIMEOUT_STEP_S + 1;
        let user_timeout = Duration::from_secs(steps * USER_TIMEOUT_STEP_S);
        let socket = SockRef::from(stream);
        match socket.set_tcp_user_timeout(Some(user_timeout)) {
            Ok(()) => self.user_timeout = user_timeout,
            Err(error) => log::warn!("event=user_timeout_failed error=\"{error}\""),
        }
    }

    /// Returns when the last of the requests reaches its time limit.
    pub(super) const fn until(&self) -> Instant {
        self.until
    }
}
