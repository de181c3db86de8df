//! Sends a caller's requests over pooled connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use crossbeam::channel::Sender;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::sync::mpsc;

use agatehold_core::table::Table;

use agatehold_wire::addresses;
use agatehold_wire::addresses::AddressAnswer;

use crate::common::connect;

use super::CallerOptions;
use super::tables::Command;
use super::tables::Event;
use super::tables::SendResult;

type Connection = SendRequest<Full<Bytes>>;

/// Idle connections by address.
type Pool = Arc<Mutex<Table<SocketAddr, Vec<Connection>>>>;

/// State shared by the tasks of the traffic thread.
#[derive(Clone, Debug)]
struct Shared {
    pool: Pool,
    response_timeout: Duration,
    keeps_connections: bool,
    address_path: Arc<str>,
    events: Sender<Event>,
}

/// Runs commands until the state thread has ended.
pub(super) async fn run(
    options: &CallerOptions,
    mut commands: mpsc::UnboundedReceiver<Command>,
    events: Sender<Event>,
) {
    let path = format!(
        "/.well-known/agatehold/addresses?service={}",
        options.service
    );
    let shared = Shared {
        pool: Arc::default(),
        response_timeout: Duration::from_millis(options.response_timeout_ms.0),
        keeps_connections: options.keeps_connections,
        address_path: path.into(),
        events,
    };
    while let Some(command) = commands.recv().await {
        tokio::spawn(run_command(command, shared.clone()));
    }
}

async fn run_command(command: Command, shared: Shared) {
    let event = match command {
        Command::Send {
            number,
            address,
            request,
        } => {
            let started = Instant::now();
            let result = send_with_timeout(&shared, address, *request).await;
            Event::Ended {
                number,
                result,
                total_us: u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX),
            }
        }
        Command::FetchAddresses { daemon } => {
            Event::Addresses(fetch_addresses(&shared, daemon).await)
        }
    };
    // The send fails only if the state thread has ended.
    let _ = shared.events.send(event);
}

async fn fetch_addresses(shared: &Shared, daemon: SocketAddr) -> Option<AddressAnswer> {
    let request = Request::get(&*shared.address_path)
        .header("host", daemon.to_string())
        .body(Bytes::new())
        .ok()?;
    match send_with_timeout(shared, daemon, request).await {
        SendResult::Response(status, _, body) if status.is_success() => addresses::decode(&body),
        SendResult::Response(..)
        | SendResult::NotSent
        | SendResult::ConnectFailed
        | SendResult::Lost
        | SendResult::TimedOut => None,
    }
}

async fn send_with_timeout(
    shared: &Shared,
    address: SocketAddr,
    request: Request<Bytes>,
) -> SendResult {
    let sent = tokio::time::timeout(shared.response_timeout, send(shared, address, request));
    sent.await.unwrap_or(SendResult::TimedOut)
}

/// Sends a request on an idle connection, or on a new one if every idle one
/// turns out to be closed before the request is written.
async fn send(shared: &Shared, address: SocketAddr, request: Request<Bytes>) -> SendResult {
    let mut request = request.map(Full::new);
    while let Some(idle) = take_idle(&shared.pool, address) {
        match send_on(shared, address, idle, request).await {
            Ok(result) => return result,
            Err(unsent_request) => request = unsent_request,
        }
    }
    let Some(sender) = connect(address).await else {
        return SendResult::ConnectFailed;
    };
    let sent = send_on(shared, address, sender, request).await;
    sent.unwrap_or(SendResult::ConnectFailed)
}

/// Sends a request on a connection and puts it back into the pool after a
/// complete response. Returns the request as an error if nothing was written.
async fn send_on(
    shared: &Shared,
    address: SocketAddr,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<SendResult, Request<Full<Bytes>>> {
    if connection.ready().await.is_err() {
        return Err(request);
    }
    let response = match connection.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => return error.take_message().map_or(Ok(SendResult::Lost), Err),
    };
    let (head, body) = response.into_parts();
    let Ok(collected) = body.collect().await else {
        return Ok(SendResult::Lost);
    };
    if shared.keeps_connections {
        let mut pool = shared.pool.lock().unwrap_or_else(PoisonError::into_inner);
        pool.get_or_insert(address, Vec::new).push(connection);
    }
    Ok(SendResult::Response(
        head.status,
        head.headers,
        collected.to_bytes(),
    ))
}

fn take_idle(pool: &Pool, address: SocketAddr) -> Option<Connection> {
    let mut pool = pool.lock().unwrap_or_else(PoisonError::into_inner);
    pool.get_mut(&address)?.pop()
}
