//! Answers the requests of other daemons.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::Sender;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use agatehold_wire::generated::Envelope;
use agatehold_wire::generated::peers_server::Peers;
use agatehold_wire::generated::peers_server::PeersServer;
use agatehold_wire::peers::EnvelopeHeader;
use agatehold_wire::peers::Method;
use agatehold_wire::peers::PeerKey;
use agatehold_wire::peers::ReplayTable;
use agatehold_wire::peers::VerifiedMessage;
use agatehold_wire::peers::decode_digest;
use agatehold_wire::peers::decode_notes_request;
use agatehold_wire::peers::encode_digest;
use agatehold_wire::peers::encode_notes_answer;
use agatehold_wire::peers::open_request;
use agatehold_wire::peers::seal;

use crate::control::Input;
use crate::shared::Shared;

use super::count_bytes;

/// The time that the control thread has to answer a query.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum number of concurrent calls on one connection.
const CONNECTION_CALLS_MAX: usize = 16;

/// Answers requests of other daemons by querying the control thread.
struct PeersService {
    shared: Arc<Shared>,
    key: PeerKey,
    inputs: Sender<Input>,
    replay_table: Mutex<ReplayTable>,
    sequence: AtomicU64,
}

/// Serves requests until the future is dropped or the server fails.
pub(super) async fn serve(
    shared: &Arc<Shared>,
    key: PeerKey,
    inputs: Sender<Input>,
    listener: TcpListener,
) -> Result<(), Box<dyn std::error::Error>> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let service = PeersService {
        shared: Arc::clone(shared),
        key,
        inputs,
        replay_table: Mutex::default(),
        sequence: AtomicU64::new(0),
    };
    Server::builder()
        .concurrency_limit_per_connection(CONNECTION_CALLS_MAX)
        .add_service(PeersServer::new(service))
        .serve_with_incoming(incoming)
        .await?;
    Ok(())
}

impl PeersService {
    /// Opens the envelope of a request. A forged, misdirected, malformed or
    /// replayed envelope is refused and counted.
    fn open(&self, method: Method, envelope: Envelope) -> Result<VerifiedMessage, Status> {
        count_bytes("received", &envelope);
        let mut replay_table = self
            .replay_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        open_request(
            &self.key,
            method,
            &self.shared.host,
            envelope,
            &mut replay_table,
        )
        .map_err(|error| {
            metrics::counter!("agatehold_envelopes_refused_total").increment(1);
            Status::permission_denied(error.to_string())
        })
    }

    /// Seals the answer to the request that had `request_header`.
    fn seal(
        &self,
        method: Method,
        request_header: &EnvelopeHeader,
        body: Vec<u8>,
    ) -> Response<Envelope> {
        let header = EnvelopeHeader {
            sender: self.shared.host.clone(),
            receiver: request_header.sender.clone(),
            incarnation: self.shared.incarnation(),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            answers: Some((request_header.incarnation, request_header.sequence)),
        };
        let envelope = seal(&self.key, method, &header, body);
        count_bytes("sent", &envelope);
        Response::new(envelope)
    }

    /// Sends a query to the control thread and waits for the answer. Fails if
    /// the input queue is full or the answer takes too long.
    async fn query_control_thread<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> Result<T, Status> {
        let control_thread_busy = || Status::unavailable("the control thread is busy");
        let (reply, reply_receiver) = oneshot::channel();
        self.inputs
            .try_send(input(reply))
            .map_err(|_| control_thread_busy())?;
        match tokio::time::timeout(ANSWER_TIMEOUT, reply_receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(control_thread_busy()),
        }
    }
}

#[tonic::async_trait]
impl Peers for PeersService {
    async fn exchange(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let opened = self.open(Method::Exchange, request.into_inner())?;
        let digest = decode_digest(&opened.body)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        if digest.sender.host != opened.header.sender {
            return Err(Status::invalid_argument("the sender is another host"));
        }
        let answer = self
            .query_control_thread(|reply| Input::Digest(Box::new(digest), reply))
            .await?;
        Ok(self.seal(Method::Exchange, &opened.header, encode_digest(&answer)))
    }

    async fn fetch_notes(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let opened = self.open(Method::FetchNotes, request.into_inner())?;
        let notes_request = decode_notes_request(&opened.body)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let answer = self
            .query_control_thread(|reply| Input::NotesRequested(notes_request, reply))
            .await?;
        let body = encode_notes_answer(&answer);
        Ok(self.seal(Method::FetchNotes, &opened.header, body))
    }
}
