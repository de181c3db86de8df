//! The peers thread, which exchanges messages with the other daemons.

mod client;
mod server;

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;

use crossbeam::channel::Sender;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use agatehold_core::ids::HostId;
use agatehold_core::membership::PeerDigest;
use agatehold_core::replication::NotesRequest;
use agatehold_wire::generated::Envelope;
use agatehold_wire::peers::PeerKey;
use agatehold_wire::peers::envelope_bytes;

use crate::control::Input;
use crate::shared::Shared;

/// The maximum number of jobs that are queued for the thread.
const JOB_QUEUE_LENGTH: usize = 256;

/// A job for the peers thread.
#[derive(Debug)]
pub(crate) enum PeerJob {
    /// Exchange digests with another daemon.
    Exchange {
        host: HostId,
        address: SocketAddr,
        digest: Box<PeerDigest>,
    },
    /// Fetch notes from another daemon.
    FetchNotes {
        host: HostId,
        address: SocketAddr,
        request: NotesRequest,
    },
    /// Stop the thread.
    Close,
}

/// The queue of jobs for the peers thread.
#[derive(Clone)]
pub(crate) struct PeerQueue {
    jobs: mpsc::Sender<PeerJob>,
}

impl PeerQueue {
    /// Queues a job. If the queue is full, the job is dropped and counted; to
    /// the control thread, this is the same as a lost message.
    pub(crate) fn push(&self, job: PeerJob) {
        if self.jobs.try_send(job).is_err() {
            metrics::counter!("agatehold_peer_jobs_dropped_total").increment(1);
        }
    }
}

/// The running peers thread.
pub(crate) struct PeerThread {
    thread: JoinHandle<()>,
    queue: PeerQueue,
}

impl PeerThread {
    /// Binds the peers' address and starts the thread.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        key: PeerKey,
        inputs: Sender<Input>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(shared.settings.listen.peers)?;
        listener.set_nonblocking(true)?;
        let (jobs, jobs_receiver) = mpsc::channel(JOB_QUEUE_LENGTH);
        let shared = Arc::clone(shared);
        let thread = std::thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || run_thread(shared, key, inputs, listener, jobs_receiver))?;
        Ok(Self {
            thread,
            queue: PeerQueue { jobs },
        })
    }

    /// Returns the queue of jobs.
    pub(crate) fn queue(&self) -> PeerQueue {
        self.queue.clone()
    }

    /// Stops the thread and waits for it.
    pub(crate) fn close(self) {
        if self.queue.jobs.blocking_send(PeerJob::Close).is_err() {
            log::error!("the peers thread ended before the daemon was stopped");
        }
        if self.thread.join().is_err() {
            log::error!("the peers thread panicked");
        }
    }
}

/// Adds the size of an envelope to the count of bytes exchanged with peers. An
/// envelope that is refused counts as well, since it used the network too.
fn count_bytes(direction: &'static str, envelope: &Envelope) {
    let bytes = envelope_bytes(envelope).0;
    metrics::counter!("agatehold_peer_bytes_total", "direction" => direction).increment(bytes);
}

fn run_thread(
    shared: Arc<Shared>,
    key: PeerKey,
    inputs: Sender<Input>,
    listener: TcpListener,
    jobs: mpsc::Receiver<PeerJob>,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("failed to start the async runtime of the peers thread: {error}");
            std::process::abort();
        }
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let serving = server::serve(&shared, key.clone(), inputs.clone(), listener);
        tokio::select! {
            result = serving => {
                if let Err(error) = result {
                    log::error!("the server for the requests of other daemons failed: {error}");
                    std::process::abort();
                }
            }
            () = client::run(&shared, key, inputs, jobs) => {}
        }
    });
}
