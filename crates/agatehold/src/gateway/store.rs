//! HTTP client for the platform's store, with a pool of keep-alive connections.
//! It also fetches the contents of the store from other daemons.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use quick_error::quick_error;
use tokio::sync::watch;
use tokio::time::Instant;

use agatehold_core::units::StoreEra;
use agatehold_platform::DecodeError;
use agatehold_platform::STORE_ERA_HEADER;
use agatehold_platform::StoreCall;
use agatehold_platform::StoreStatus;
use agatehold_platform::parse_store_era;
use agatehold_platform::status;

use crate::traffic::Connection;
use crate::traffic::TcpTimeouts;

/// The timeout for opening a connection. The round-trip time between hosts is a few
/// milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How soon a dead connection to the store is detected. A waiting watch receives
/// nothing for a long time, yet changes must be known within two seconds.
const TCP_TIMEOUTS: TcpTimeouts = TcpTimeouts {
    keepalive_interval: Duration::from_secs(1),
    user_timeout: Duration::from_secs(2),
};

/// The maximum number of idle connections.
const IDLE_CONNECTIONS_MAX: usize = 2;

quick_error! {
    /// Why a call to the store failed.
    #[derive(Debug)]
    pub enum StoreError {
        /// No connection could be opened in time.
        Connect {
            display("connecting failed")
        }
        /// The connection was lost; the store may have executed the call.
        Lost(error: hyper::Error) {
            display("connection lost: {}", error)
        }
        /// The call timed out; the store may have executed it.
        Timeout {
            display("no answer in time")
        }
        /// The store responded with a status other than success and has not
        /// executed the call.
        Status(status: StoreStatus) {
            display("status {:?}", status)
        }
        /// The response is of an older era than the newest known one: it comes from a
        /// replica that has not been restored yet.
        OldEra(era: StoreEra) {
            display("answer of the older era {}", era)
        }
        /// The response body can't be decoded.
        Decode(error: DecodeError) {
            display("answer unreadable: {}", error)
            from()
        }
        /// The call can't be encoded as an HTTP request.
        Invalid(error: http::Error) {
            display("invalid call: {}", error)
            from()
        }
    }
}

/// The body of a successful response and the era of the store that it belongs to.
pub(crate) struct StoreResponse {
    /// The body.
    pub(crate) body: Bytes,
    /// The era.
    pub(crate) era: StoreEra,
}

/// Sends calls to the store. A connection carries one call at a time.
pub(crate) struct StoreClient {
    address: SocketAddr,
    /// The newest known era of the store.
    era: watch::Sender<StoreEra>,
    idle: RefCell<Vec<Connection>>,
}

impl StoreClient {
    /// Creates a client without opening a connection.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            era: watch::Sender::new(StoreEra(0)),
            idle: RefCell::default(),
        }
    }

    /// Returns the newest known era of the store.
    pub(crate) fn era(&self) -> StoreEra {
        *self.era.borrow()
    }

    /// Returns a receiver that is notified of each newer era.
    pub(crate) fn watch_era(&self) -> watch::Receiver<StoreEra> {
        self.era.subscribe()
    }

    /// Records an era of the store, as seen by this daemon or told by another one.
    pub(crate) fn raise_era(&self, era: StoreEra) {
        self.era.send_if_modified(|known| {
            let is_newer = era > *known;
            *known = era.max(*known);
            is_newer
        });
    }

    /// Sends a call and returns its response. One of an older era than the newest known
    /// one is an error.
    ///
    /// The connection is closed unless it delivers the complete response, since it
    /// can't be used for another call.
    pub(crate) async fn call(
        &self,
        call: StoreCall,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let until = Instant::now() + timeout;
        let mut connection = self.connect(until).await?;
        let request = build_request(self.address, call)?;
        let result = tokio::time::timeout_at(until, async {
            let response = connection
                .sender
                .send_request(request)
                .await
                .map_err(StoreError::Lost)?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(StoreError::Lost)?;
            let era = head.headers.get(STORE_ERA_HEADER);
            let era = parse_store_era(era.map(HeaderValue::as_bytes))?;
            Ok((status(head.status.as_u16()), era, body.to_bytes()))
        })
        .await;
        match result {
            Ok(Ok((status, era, body))) => {
                self.keep(connection);
                self.raise_era(era);
                match status {
                    // A proxy before the store may reject calls without an era.
                    StoreStatus::Busy | StoreStatus::Rejected => Err(StoreError::Status(status)),
                    _ if era < self.era() => Err(StoreError::OldEra(era)),
                    StoreStatus::Done => Ok(StoreResponse { body, era }),
                    other => Err(StoreError::Status(other)),
                }
            }
            Ok(Err(error)) => {
                connection.close();
                Err(error)
            }
            Err(_) => {
                connection.close();
                Err(StoreError::Timeout)
            }
        }
    }

    async fn connect(&self, until: Instant) -> Result<Connection, StoreError> {
        loop {
            let Some(connection) = self.idle.borrow_mut().pop() else {
                break;
            };
            if connection.sender.is_ready() {
                return Ok(connection);
            }
            connection.close();
        }
        let opening = Connection::open(self.address, TCP_TIMEOUTS);
        let until = until.min(Instant::now() + CONNECT_TIMEOUT);
        match tokio::time::timeout_at(until, opening).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) | Err(_) => Err(StoreError::Connect),
        }
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= IDLE_CONNECTIONS_MAX || connection.sender.is_closed() {
            connection.close();
            return;
        }
        idle.push(connection);
    }
}

fn build_request(address: SocketAddr, call: StoreCall) -> Result<Request<Full<Bytes>>, StoreError> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, address.to_string());
    if !call.body.is_empty() {
        let json = HeaderValue::from_static("application/json");
        request = request.header(header::CONTENT_TYPE, json);
    }
    Ok(request.body(Full::new(call.body.into()))?)
}
