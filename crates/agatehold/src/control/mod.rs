//! The control thread, which owns the state tables and runs the control logic.

mod apply;
mod inputs;
mod publish;
mod status;

use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use crossbeam::channel::tick;
use crossbeam::select;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::control;
use agatehold_core::control::ControlTables;
use agatehold_core::control::StopStep;
use agatehold_core::ids::ServiceName;
use agatehold_core::membership;
use agatehold_core::membership::ListedHost;
use agatehold_core::membership::OwnRow;
use agatehold_core::table::Table;

use crate::admission::AdmissionController;
use crate::peers::PeerQueue;
use crate::platform::PlatformQueue;
use crate::shared::Shared;
use crate::shared::TrafficReport;

pub(crate) use inputs::AdminRequest;
pub(crate) use inputs::Input;

/// The time between two ticks. A changed preference for a target takes effect
/// within one tick.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The capacity of the channel of inputs.
const INPUTS_CAPACITY: usize = 1_024;

/// The capacity of the channel of reports: enough for one tick at 140 requests
/// per second, with room for a burst.
pub(crate) const REPORTS_CAPACITY: usize = 8_192;

/// The maximum number of reports handled in one batch.
const REPORTS_BATCH_MAX: usize = 4_096;

/// The state of the control thread.
pub(crate) struct ControlLoop {
    shared: Arc<Shared>,
    tables: ControlTables,
    admission_controllers: Table<ServiceName, Arc<AdmissionController>>,
    platform: PlatformQueue,
    peers: PeerQueue,
    rng: Pcg64Mcg,
}

/// The running control thread.
pub(crate) struct ControlThread {
    thread: JoinHandle<()>,
}

/// Creates the channel of inputs.
pub(crate) fn input_channel() -> (Sender<Input>, Receiver<Input>) {
    bounded(INPUTS_CAPACITY)
}

impl ControlThread {
    /// Starts the thread, which sends the steps of a planned stop to
    /// `stop_steps`.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        platform: PlatformQueue,
        peers: PeerQueue,
        inputs: Receiver<Input>,
        reports: Receiver<TrafficReport>,
        stop_steps: Sender<StopStep>,
    ) -> io::Result<Self> {
        let control = ControlLoop {
            shared: Arc::clone(shared),
            tables: initial_tables(shared),
            admission_controllers: Table::new(),
            platform,
            peers,
            rng: Pcg64Mcg::from_rng(&mut rand::rng()),
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control.run(&inputs, &reports, &stop_steps))?;
        Ok(Self { thread })
    }

    /// Waits until the thread has ended; `Input::Close` makes it end.
    pub(crate) fn close(self) {
        if self.thread.join().is_err() {
            log::error!("the control thread panicked");
        }
    }
}

fn initial_tables(shared: &Shared) -> ControlTables {
    let settings = &shared.settings;
    let own = OwnRow {
        id: settings.host.id.clone(),
        failure_domain: settings.host.failure_domain.clone(),
        peer_address: settings.listen.peers,
        caller_address: settings.listen.callers,
        incarnation: shared.incarnation(),
        heartbeat: Default::default(),
        phase: membership::HostPhase::Starting,
    };
    let mut hosts = Vec::new();
    for (id, host) in settings.peers.hosts.rows() {
        hosts.push(ListedHost {
            id: id.clone(),
            failure_domain: host.failure_domain.clone(),
            peer_address: host.peers,
            caller_address: Some(host.callers),
            leaving: false,
        });
    }
    ControlTables::new(membership::start(own, &hosts, shared.clock.now()))
}

impl ControlLoop {
    fn run(
        mut self,
        inputs: &Receiver<Input>,
        reports: &Receiver<TrafficReport>,
        stop_steps: &Sender<StopStep>,
    ) {
        let ticker = tick(TICK_INTERVAL);
        loop {
            select! {
                recv(inputs) -> input => match input {
                    Ok(Input::Close) | Err(_) => return,
                    Ok(input) => self.handle_input(input),
                },
                recv(reports) -> report => {
                    if let Ok(report) = report {
                        self.handle_report(report);
                    }
                    for report in reports.try_iter().take(REPORTS_BATCH_MAX) {
                        self.handle_report(report);
                    }
                },
                recv(ticker) -> _ => {
                    self.tick();
                    self.send_stop_step(stop_steps);
                },
            }
        }
    }

    fn handle_report(&mut self, report: TrafficReport) {
        match report {
            TrafficReport::Attempt(report) => {
                control::record_reports(&mut self.tables, [report]);
            }
            TrafficReport::Poison(marks) => self.spread_own_marks(marks),
        }
    }

    fn tick(&mut self) {
        let started = std::time::Instant::now();
        let now = self.shared.clock.now();
        // Copy the table, which is usually empty: traffic threads take the same
        // lock and would be blocked for the whole tick.
        let poison = self.shared.poison().clone();
        let commands = control::tick(&mut self.tables, &poison, now, &mut self.rng);
        let serving_until = self.tables.replication.serving_until;
        self.shared.set_serving_until(serving_until);
        self.apply(commands);
        self.process_queues();
        self.publish_gauges();
        metrics::histogram!("agatehold_tick_seconds").record(started.elapsed().as_secs_f64());
    }

    /// Assigns slots that became free without a request ending, and drops
    /// requests that have waited too long.
    fn process_queues(&mut self) {
        let published = self.shared.published.load_full();
        let now = self.shared.clock.now();
        for (name, admission_controller) in self.admission_controllers.rows() {
            if let Some(service) = published.service_index(name) {
                admission_controller.process_queue(&published, service, now, &mut self.rng);
            }
        }
    }

    /// Refuses new keys during a planned stop once the TTL of the address
    /// answers has passed. From then on, callers that refresh their addresses
    /// use another daemon's key prefix. The records of keys accepted later
    /// would be lost when the process ends.
    fn stop_new_keys_after_ttl(&self) {
        let Some(since) = self.tables.stop.since else {
            return;
        };
        let passed = self.shared.clock.now().since(since);
        if passed >= self.shared.settings.limits.address_ttl_ms {
            self.shared.keys().stop_new_keys();
        }
    }

    fn send_stop_step(&self, stop_steps: &Sender<StopStep>) {
        self.stop_new_keys_after_ttl();
        let step = self.next_stop_step();
        if step != StopStep::None {
            // If the channel is full, the main thread has yet to read the
            // previous step; the step is sent again at the next tick.
            let _ = stop_steps.try_send(step);
        }
    }
}
