//! Answers the messages of other daemons.

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
use agatehold_wire::peers::Opened;
use agatehold_wire::peers::PeerKey;
use agatehold_wire::peers::ReplayTable;
use agatehold_wire::peers::decode_digest;
use agatehold_wire::peers::decode_notes_request;
use agatehold_wire::peers::encode_digest;
use agatehold_wire::peers::encode_notes_answer;
use agatehold_wire::peers::open_request;
use agatehold_wire::peers::seal;

use crate::control::Input;
use crate::shared::Shared;

use super::count_bytes;

/// How long the control thread may take for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The open calls of one connection.
const CALLS_MAX: usize = 16;

/// Answers messages through the control thread.
struct PeersService {
    shared: Arc<Shared>,
    key: PeerKey,
    inputs: Sender<Input>,
    seen: Mutex<ReplayTable>,
    sequence: AtomicU64,
}

/// Serves until the thread ends.
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
        seen: Mutex::default(),
        sequence: AtomicU64::new(0),
    };
    Server::builder()
        .concurrency_limit_per_connection(CALLS_MAX)
        .add_service(PeersServer::new(service))
        .serve_with_incoming(incoming)
        .await?;
    Ok(())
}

impl PeersService {
    fn open(&self, method: Method, envelope: Envelope) -> Result<Opened, Status> {
        count_bytes("received", &envelope);
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        open_request(&self.key, method, &self.shared.host, envelope, &mut seen).map_err(|error| {
            metrics::counter!("agatehold_envelopes_refused_total").increment(1);
            Status::permission_denied(error.to_string())
        })
    }

    fn seal(&self, method: Method, asked: &EnvelopeHeader, body: Vec<u8>) -> Response<Envelope> {
        let header = EnvelopeHeader {
            sender: self.shared.host.clone(),
            receiver: asked.sender.clone(),
            incarnation: self.shared.incarnation(),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            answers: Some((asked.incarnation, asked.sequence)),
        };
        let envelope = seal(&self.key, method, &header, body);
        count_bytes("sent", &envelope);
        Response::new(envelope)
    }

    /// Asks the control thread and waits for its answer.
    async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Result<T, Status> {
        let busy = || Status::unavailable("the control thread is busy");
        let (reply, reply_seen) = oneshot::channel();
        self.inputs.try_send(input(reply)).map_err(|_| busy())?;
        match tokio::time::timeout(ANSWER_TIMEOUT, reply_seen).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(busy()),
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
            .ask(|reply| Input::Digest(Box::new(digest), reply))
            .await?;
        Ok(self.seal(Method::Exchange, &opened.header, encode_digest(&answer)))
    }

    async fn fetch_notes(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let opened = self.open(Method::FetchNotes, request.into_inner())?;
        let asked = decode_notes_request(&opened.body)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let answer = self.ask(|reply| Input::NotesAsked(asked, reply)).await?;
        let body = encode_notes_answer(&answer);
        Ok(self.seal(Method::FetchNotes, &opened.header, body))
    }
}
