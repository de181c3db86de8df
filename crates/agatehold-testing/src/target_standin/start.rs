//! Starts the threads of the target stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use crossbeam::channel::Receiver;
use crossbeam::channel::unbounded;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TargetCount;
use agatehold_core::units::TimeMs;

use crate::common::serve_control;
use crate::common::unix_now;

use super::faults::Faults;
use super::systems;
use super::tables::Event;
use super::tables::Tables;
use super::tables::TargetCounts;
use super::tables::TargetRow;
use super::tables::TrafficCommand;
use super::traffic;

/// The options of the target stand-in.
#[derive(Clone, Copy, Debug)]
pub struct TargetOptions {
    /// The number of targets.
    pub count: TargetCount,
    /// The listen address of each target. It must be IPv4, and have port 0 if
    /// there are several targets.
    pub listen: SocketAddr,
    /// The listen address of the control port.
    pub control: SocketAddr,
    /// The number of requests that a target can run at once.
    pub slots: SlotCount,
    /// The duration of the warm-up after the start, during which a target is
    /// slower.
    pub warm_up_ms: DurationMs,
    /// The seed of the random delays and failures.
    pub seed: u64,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            count: TargetCount(1),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: SlotCount(4),
            warm_up_ms: DurationMs(0),
            seed: 1,
        }
    }
}

/// Running target stand-ins.
#[derive(Debug)]
pub struct RunningTargets {
    /// The bound addresses by target index.
    pub targets: Vec<SocketAddr>,
    /// The bound address of the control port.
    pub control: SocketAddr,
    stop: oneshot::Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl RunningTargets {
    /// Stops the threads and waits for them.
    pub fn close(self) {
        // The send fails only if the traffic thread has ended already.
        let _ = self.stop.send(());
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Starts the target stand-ins and their control port.
pub fn start(options: TargetOptions) -> io::Result<RunningTargets> {
    let (events, inbox) = unbounded();
    let (commands, mut command_inbox) = mpsc::unbounded_channel();
    let (stop, stopped) = oneshot::channel();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let entered = runtime.enter();
    let control_listener = runtime.block_on(TcpListener::bind(options.control))?;
    let control = control_listener.local_addr()?;
    let mut rows = Vec::new();
    let mut bound_targets = Vec::new();
    for _ in 0..options.count.0 {
        let bound = traffic::bind_target(options.listen)?;
        let listener = traffic::listen(&bound)?;
        rows.push(target_row(&options, bound.address));
        bound_targets.push((bound, listener));
    }
    drop(entered);
    let targets = rows.iter().map(|row| row.address).collect();
    let tables = Tables {
        targets: rows,
        connections: Table::new(),
        connection_count: 0,
        runs: Table::new(),
        run_count: 0,
        warm_up_ms: options.warm_up_ms,
        traffic: commands,
    };
    let seed = options.seed;
    let state_thread = thread::Builder::new()
        .name("target-state".to_owned())
        .spawn(move || run_state(tables, &inbox, seed))?;
    let traffic_thread = thread::Builder::new()
        .name("target-traffic".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                let mut down_until = Vec::new();
                for (index, (bound, listener)) in bound_targets.into_iter().enumerate() {
                    let (sender, receiver) = watch::channel(TimeMs(0));
                    down_until.push(sender);
                    let events = events.clone();
                    tokio::spawn(traffic::run_target(
                        index, bound, listener, events, receiver,
                    ));
                }
                tokio::spawn(serve_control(control_listener, events, Event::Control));
                tokio::spawn(async move {
                    while let Some(command) = command_inbox.recv().await {
                        let TrafficCommand::RefuseConnections { target, down_ms } = command;
                        down_until[target].send_replace(unix_now() + down_ms);
                    }
                });
                // Ends on a stop signal and when `RunningTargets` is dropped.
                let _ = stopped.await;
            });
        })?;
    Ok(RunningTargets {
        targets,
        control,
        stop,
        threads: vec![traffic_thread, state_thread],
    })
}

fn target_row(options: &TargetOptions, address: SocketAddr) -> TargetRow {
    let now = unix_now();
    TargetRow {
        address,
        slots: options.slots,
        in_flight: 0,
        started_at: now,
        faults: Faults::default(),
        faults_set_at: now,
        cuts_left: Arc::default(),
        last_response: (
            "other-request".into(),
            "the answer to another request\n".into(),
        ),
        counts: TargetCounts::default(),
    }
}

/// Runs the systems at each event until all senders of events are dropped.
fn run_state(mut tables: Tables, inbox: &Receiver<Event>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    while let Ok(event) = inbox.recv() {
        systems::tick(&mut tables, unix_now(), event, &mut rng);
    }
}
