//! Sends requests to other daemons.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use tokio::sync::mpsc;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use agatehold_core::ids::HostId;
use agatehold_core::membership::PeerDigest;
use agatehold_core::replication::NotesAnswer;
use agatehold_core::replication::NotesRequest;
use agatehold_wire::generated::Envelope;
use agatehold_wire::generated::peers_client::PeersClient;
use agatehold_wire::peers::EnvelopeHeader;
use agatehold_wire::peers::Method;
use agatehold_wire::peers::PeerKey;
use agatehold_wire::peers::decode_digest;
use agatehold_wire::peers::decode_notes_answer;
use agatehold_wire::peers::encode_digest;
use agatehold_wire::peers::encode_notes_request;
use agatehold_wire::peers::open_answer;
use agatehold_wire::peers::seal;

use crate::control::Input;
use crate::shared::Shared;

use super::PeerJob;
use super::count_bytes;

/// The timeout of an exchange of digests. The latency between hosts is a few
/// milliseconds.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout of a request for notes.
const NOTES_TIMEOUT: Duration = Duration::from_millis(1_400);

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum number of connections that are kept open. At the fleet size
/// that the design assumes, a daemon has about ten neighbours and rarely sends
/// messages to other daemons.
const CHANNELS_MAX: usize = 64;

/// State shared by the tasks of the client.
struct Client {
    shared: Arc<Shared>,
    key: PeerKey,
    inputs: Sender<Input>,
    channels: RefCell<HashMap<SocketAddr, Channel>>,
    sequence: Cell<u64>,
}

/// Runs jobs until [`PeerJob::Close`] arrives or the queue is closed.
pub(super) async fn run(
    shared: &Arc<Shared>,
    key: PeerKey,
    inputs: Sender<Input>,
    mut jobs: mpsc::Receiver<PeerJob>,
) {
    let client = Rc::new(Client {
        shared: Arc::clone(shared),
        key,
        inputs,
        channels: RefCell::default(),
        sequence: Cell::new(0),
    });
    let clock = shared.clock;
    while let Some(job) = jobs.recv().await {
        let client = Rc::clone(&client);
        match job {
            PeerJob::Close => return,
            PeerJob::Exchange {
                host,
                address,
                digest,
            } => {
                let sent_at = clock.now();
                tokio::task::spawn_local(async move {
                    let answer = client.exchange(&host, address, &digest).await;
                    client.send_input(Input::ExchangeEnded {
                        host,
                        answer: answer.map(Box::new),
                        sent_at,
                    });
                });
            }
            PeerJob::FetchNotes {
                host,
                address,
                request,
            } => {
                tokio::task::spawn_local(async move {
                    let answer = client.fetch_notes(&host, address, request).await;
                    client.send_input(Input::PeerNotes(host, answer));
                });
            }
        }
    }
}

impl Client {
    /// Sends an input to the control thread. If its queue is full, the input is
    /// dropped and counted.
    fn send_input(&self, input: Input) {
        if self.inputs.try_send(input).is_err() {
            metrics::counter!("agatehold_inputs_dropped_total").increment(1);
        }
    }

    /// Sends a digest and returns the peer's digest; `None` if the exchange
    /// failed or another host answered.
    async fn exchange(
        &self,
        host: &HostId,
        address: SocketAddr,
        digest: &PeerDigest,
    ) -> Option<PeerDigest> {
        let body = encode_digest(digest);
        let body = self
            .call(Method::Exchange, host, address, body, EXCHANGE_TIMEOUT)
            .await?;
        let answer = decode_digest(&body).ok()?;
        (answer.sender.host == *host).then_some(answer)
    }

    async fn fetch_notes(
        &self,
        host: &HostId,
        address: SocketAddr,
        request: NotesRequest,
    ) -> Option<NotesAnswer> {
        let body = encode_notes_request(&request);
        let body = self
            .call(Method::FetchNotes, host, address, body, NOTES_TIMEOUT)
            .await?;
        decode_notes_answer(&body).ok()
    }

    /// Makes a call. A reused connection may have gone silent, so a call that
    /// fails on one is repeated once on a new connection.
    async fn call(
        &self,
        method: Method,
        host: &HostId,
        address: SocketAddr,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Option<Vec<u8>> {
        let reused = self.channels.borrow().get(&address).cloned();
        if let Some(channel) = reused {
            let answer = self
                .call_channel(channel, method, host, &body, timeout)
                .await;
            if answer.is_some() {
                return answer;
            }
            self.channels.borrow_mut().remove(&address);
        }
        let channel = open_channel(address)?;
        let answer = self
            .call_channel(channel.clone(), method, host, &body, timeout)
            .await?;
        let mut channels = self.channels.borrow_mut();
        if channels.len() >= CHANNELS_MAX {
            channels.clear();
        }
        channels.insert(address, channel);
        Some(answer)
    }

    /// Makes a call on one connection: seals the request, sends it and opens
    /// the answer.
    async fn call_channel(
        &self,
        channel: Channel,
        method: Method,
        host: &HostId,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Vec<u8>> {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let header = EnvelopeHeader {
            sender: self.shared.host.clone(),
            receiver: host.clone(),
            incarnation: self.shared.incarnation(),
            sequence,
            answers: None,
        };
        let envelope = seal(&self.key, method, &header, body.to_vec());
        count_bytes("sent", &envelope);
        let answer = tokio::time::timeout(timeout, send(channel, method, envelope))
            .await
            .ok()??;
        count_bytes("received", &answer);
        match open_answer(&self.key, method, &header, answer) {
            Ok(opened) => Some(opened.body),
            Err(error) => {
                metrics::counter!("agatehold_envelopes_refused_total").increment(1);
                log::debug!("rejected the answer of a peer: host={host} reason={error}");
                None
            }
        }
    }
}

fn open_channel(address: SocketAddr) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    Some(
        endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy(),
    )
}

async fn send(channel: Channel, method: Method, envelope: Envelope) -> Option<Envelope> {
    let mut client = PeersClient::new(channel);
    let answer = match method {
        Method::Exchange => client.exchange(envelope).await,
        Method::FetchNotes => client.fetch_notes(envelope).await,
    };
    answer.ok().map(tonic::Response::into_inner)
}
