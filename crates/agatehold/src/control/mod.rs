//! The control thread: it owns the tables and runs the systems.

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

pub(crate) use inputs::AdminQuestion;
pub(crate) use inputs::Input;

/// The time between two ticks. A target's verdict takes effect within one.
const TICK: Duration = Duration::from_millis(100);

/// The inputs that wait for the control thread.
const INPUTS_LENGTH: usize = 1_024;

/// The reports that wait for the control thread: a tick's worth at 140
/// requests a second, with room for a burst.
pub(crate) const REPORTS_LENGTH: usize = 8_192;

/// The most reports that are taken at once.
const REPORTS_BATCH: usize = 4_096;

/// What the control thread works with.
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
    bounded(INPUTS_LENGTH)
}

impl ControlThread {
    /// Starts the thread; it tells `stop_steps` how a planned stop goes on.
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

    /// Waits for the end of the thread, which `Input::Close` brings.
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
        let ticker = tick(TICK);
        loop {
            select! {
                recv(inputs) -> input => match input {
                    Ok(Input::Close) | Err(_) => return,
                    Ok(input) => self.take_input(input),
                },
                recv(reports) -> report => {
                    if let Ok(report) = report {
                        self.take_report(report);
                    }
                    for report in reports.try_iter().take(REPORTS_BATCH) {
                        self.take_report(report);
                    }
                },
                recv(ticker) -> _ => {
                    self.tick();
                    self.report_stop(stop_steps);
                },
            }
        }
    }

    fn take_report(&mut self, report: TrafficReport) {
        match report {
            TrafficReport::Attempt(report) => {
                control::record_reports(&mut self.tables, [report]);
            }
            TrafficReport::Poison(marks) => self.push_marks(marks),
        }
    }

    fn tick(&mut self) {
        let started = std::time::Instant::now();
        let now = self.shared.clock.now();
        // A copy, which is empty as a rule: requests take the lock too, and
        // would wait for the whole tick.
        let poison = self.shared.poison().clone();
        let commands = control::tick(&mut self.tables, &poison, now, &mut self.rng);
        self.apply(commands);
        self.process_queues();
        self.publish_gauges();
        metrics::histogram!("agatehold_tick_seconds").record(started.elapsed().as_secs_f64());
    }

    /// Hands out slots that became free without the end of a request, and
    /// drops requests that waited too long.
    fn process_queues(&mut self) {
        let published = self.shared.published.load_full();
        let now = self.shared.clock.now();
        for (name, admission_controller) in self.admission_controllers.rows() {
            if let Some(service) = published.service_index(name) {
                admission_controller.process_queue(&published, service, now, &mut self.rng);
            }
        }
    }

    /// Refuses keys that are new once callers that follow the address answers
    /// have another prefix; the end of the process would lose their records.
    fn end_own_prefix(&self) {
        let Some(since) = self.tables.stop.since else {
            return;
        };
        let passed = self.shared.clock.now().since(since);
        if passed >= self.shared.settings.limits.address_ttl_ms {
            self.shared.keys().stop_new_keys();
        }
    }

    fn report_stop(&self, stop_steps: &Sender<StopStep>) {
        self.end_own_prefix();
        let step = self.next_stop_step();
        if step != StopStep::None {
            // The main thread needs the latest step only.
            let _ = stop_steps.try_send(step);
        }
    }
}
