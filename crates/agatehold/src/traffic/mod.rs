//! The traffic threads, which accept callers' requests, forward them to
//! targets and return the targets' answers.

mod addresses;
mod answer;
mod attempt;
mod dispatch;
mod framing;
mod keys;
mod listener;
mod plan;
mod pool;
mod refusal;
mod request_reader;
mod serve;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::shared::Shared;

use pool::Pool;

pub(crate) use answer::strip_hop_by_hop;
pub(crate) use pool::Connection;
pub(crate) use pool::TcpTimeouts;
pub(crate) use pool::set_socket_options;

/// State shared by the tasks of one traffic thread.
pub(crate) struct ThreadState {
    /// The state shared by all threads of the process.
    pub(crate) shared: Arc<Shared>,
    /// The idle connections of this thread.
    pub(crate) pool: RefCell<Pool>,
    /// The random number generator of this thread.
    pub(crate) rng: RefCell<Pcg64Mcg>,
}

/// The stages of shutting down the traffic threads, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum StopStage {
    /// The threads accept connections.
    #[default]
    Running,
    /// The threads finish the requests on accepted connections.
    Finishing,
    /// The threads abort the remaining connections.
    Aborting,
}

/// Waits until the shutdown has reached `stage` or a later one.
///
/// `wait_for` returns a guard that holds a lock on the value, so the guard is
/// dropped here. A task that kept it across an await would block the sender of
/// the next stage, and then its own thread.
async fn wait_for_stage(receiver: &mut watch::Receiver<StopStage>, stage: StopStage) {
    let _ = receiver.wait_for(|current| *current >= stage).await;
}

/// The running traffic threads.
pub(crate) struct TrafficThreads {
    threads: Vec<JoinHandle<()>>,
    stage: watch::Sender<StopStage>,
    address: SocketAddr,
}

impl TrafficThreads {
    /// Binds the callers' address and starts the threads.
    pub(crate) fn start(shared: &Arc<Shared>) -> io::Result<Self> {
        let listener = TcpListener::bind(shared.settings.listen.callers)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stage, stage_receiver) = watch::channel(StopStage::Running);
        let mut threads = Vec::new();
        for number in 0..shared.settings.limits.traffic_threads.0 {
            // All threads accept from one listening socket. With one socket
            // per thread, closing a socket would reset the connections in its
            // accept queue.
            let listener = listener.try_clone()?;
            let shared = Arc::clone(shared);
            let stage_receiver = stage_receiver.clone();
            let thread = std::thread::Builder::new()
                .name(format!("traffic-{number}"))
                .spawn(move || run_thread(shared, listener, stage_receiver))?;
            threads.push(thread);
        }
        Ok(Self {
            threads,
            stage,
            address,
        })
    }

    /// Returns the bound address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, waits for the accepted connections to finish and joins
    /// the threads.
    pub(crate) fn close(self) {
        // An earlier abort must not be downgraded to `Finishing`.
        self.stage
            .send_modify(|stage| *stage = (*stage).max(StopStage::Finishing));
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a traffic thread panicked");
            }
        }
    }

    /// Returns a handle that aborts the connections for which
    /// [`TrafficThreads::close`] waits.
    pub(crate) fn abort_handle(&self, shared: &Arc<Shared>) -> AbortHandle {
        AbortHandle {
            stage: self.stage.clone(),
            shared: Arc::clone(shared),
            aborted_requests: Arc::default(),
        }
    }
}

/// Aborts the connections for which the shutdown waits.
#[derive(Clone)]
pub(crate) struct AbortHandle {
    stage: watch::Sender<StopStage>,
    shared: Arc<Shared>,
    /// The number of requests that were in flight at the abort.
    aborted_requests: Arc<AtomicU64>,
}

impl AbortHandle {
    /// Returns the number of requests that were aborted.
    pub(crate) fn aborted_requests(&self) -> u64 {
        self.aborted_requests.load(Ordering::Acquire)
    }

    /// Ends the traffic threads without waiting for requests in flight.
    pub(crate) fn abort(&self) {
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        self.aborted_requests.store(in_flight, Ordering::Release);
        self.stage.send_replace(StopStage::Aborting);
    }
}

fn run_thread(shared: Arc<Shared>, listener: TcpListener, stage: watch::Receiver<StopStage>) {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("failed to start the async runtime of a traffic thread: {error}");
            std::process::abort();
        }
    };
    let state = Rc::new(ThreadState {
        shared,
        pool: RefCell::default(),
        rng: RefCell::new(Pcg64Mcg::from_rng(&mut rand::rng())),
    });
    let local = LocalSet::new();
    local.block_on(&runtime, listener::run(&state, listener, stage));
    state.pool.take().close();
}
