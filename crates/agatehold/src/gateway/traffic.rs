//! The traffic thread: its state, its periodic tasks, and its shutdown.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::task::LocalSet;

use agatehold_core::catalog::CallerLimits;
use agatehold_core::catalog::match_catalog_route;
use agatehold_core::dispatch::ConnectionReuse;
use agatehold_core::dispatch::DaemonRank;
use agatehold_core::dispatch::EntryDaemon;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::ResendBudgets;
use agatehold_core::dispatch::ResendPolicy;
use agatehold_core::dispatch::ServiceStats;
use agatehold_core::dispatch::StopPhase;
use agatehold_core::dispatch::SuspensionDetector;
use agatehold_core::dispatch::cost::CostTable;
use agatehold_core::dispatch::count_target_states;
use agatehold_core::dispatch::idle_connections_max;
use agatehold_core::ids::ServiceName;
use agatehold_core::limits::allotments::AllotmentTable;
use agatehold_core::poison::PoisonTable;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_platform::FleetBounds;

use crate::clock::read_suspension_clocks;

use super::allotments;
use super::allotments::Allotments;
use super::crash_check;
use super::crash_check::LostConnection;
use super::endpoint;
use super::endpoint::Endpoint;
use super::http1::RequestHead;
use super::memory::MemoryAccount;
use super::memory::MemoryKind;
use super::memory::MemoryLimits;
use super::memory::host_memory_mb;
use super::pool::TargetPool;
use super::queue::ServiceQueue;
use super::routes::RouteState;
use super::shared::GatewayShared;
use super::shared::View;
use super::shutdown::Shutdown;

/// The interval of the periodic tasks while requests are queued or the daemon is
/// shutting down.
const BUSY_TICK: Duration = Duration::from_millis(50);

/// The interval of the periodic tasks otherwise.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// The minimum interval between two updates of the target gauges.
const GAUGE_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// The state of the traffic thread.
pub(super) struct TrafficState {
    /// The state shared with the other threads.
    pub(super) shared: Arc<GatewayShared>,
    /// The view that the tables were last synchronized with.
    view: RefCell<Arc<View>>,
    /// The targets with their load and health.
    pub(super) targets: RefCell<LiveTargets>,
    /// The pool of idle connections to targets.
    pub(super) pool: RefCell<TargetPool>,
    /// How long idle connections to targets are trusted.
    pub(super) connection_reuse: Cell<ConnectionReuse>,
    /// The memory that is held for callers and targets.
    pub(super) memory: MemoryAccount,
    /// The retry budget of each service.
    pub(super) budgets: RefCell<ResendBudgets>,
    /// The allotments of tenants.
    pub(super) allotments: Allotments,
    /// Detects suspensions of the host.
    suspension: RefCell<SuspensionDetector>,
    /// The counts of served and unserved requests of each service.
    pub(super) service_stats: RefCell<HashMap<ServiceName, ServiceStats>>,
    /// The queue of requests that wait for a slot, of each service.
    pub(super) queues: RefCell<HashMap<ServiceName, ServiceQueue>>,
    /// Wakes the periodic tasks when a request waits in a queue that was empty: they would
    /// sleep for longer than it may wait.
    pub(super) queue_filled: Notify,
    /// The state of each route, by the route's name.
    pub(super) routes: RefCell<HashMap<Box<str>, RouteState>>,
    /// What requests cost; `None` unless targets are chosen by expected cost.
    pub(super) costs: Option<RefCell<CostTable>>,
    /// The requests that were running in a target when it crashed, or when it closed their
    /// connection.
    pub(super) poison: RefCell<PoisonTable>,
    /// Passes lost connections to [`crash_check::run`].
    pub(super) lost_connections: UnboundedSender<LostConnection>,
    /// The number of the last answer applied of those that other daemons gave this one
    /// after its start.
    pub(super) told_number: Cell<u64>,
    /// The number of messages sent to entry daemons, which decides about their relays.
    pub(super) relay_turn: Cell<u64>,
    /// The UDP socket for exchanging evidence about targets with other daemons.
    pub(super) evidence: UdpSocket,
    /// The random number generator of this thread.
    pub(super) rng: RefCell<Pcg64Mcg>,
    /// The progress of a planned stop.
    pub(super) shutdown: Shutdown,
    /// When the target gauges were last updated.
    gauges_updated_at: Cell<TimeMs>,
    metrics: PrometheusHandle,
}

impl TrafficState {
    /// Returns the newest view, after synchronizing the tables with it.
    pub(super) fn view(&self) -> Arc<View> {
        let newest = self.shared.view.load();
        if newest.number != self.view.borrow().number {
            self.sync_tables(&newest);
        }
        Arc::clone(&self.view.borrow())
    }

    fn sync_tables(&self, newest: &Arc<View>) {
        let before = self.view.replace(Arc::clone(newest));
        super::evidence::inform_started_daemons(self, &before, newest);
        self.targets.borrow_mut().sync(
            newest
                .targets
                .iter()
                .map(|(record, seen_at)| (record, *seen_at)),
        );
        super::evidence::apply_told(self, newest);
        let services = newest.catalog.iter().flat_map(|catalog| &catalog.services);
        if let Some(connections_max) = services.map(|service| service.connections_max).min() {
            let idle_max = idle_connections_max(connections_max, newest.members.len());
            self.pool.borrow_mut().set_idle_connections_max(idle_max);
        }
        let own = &self.shared.settings.host.id;
        let now = self.shared.clock.now();
        let mut counts = HashMap::new();
        for service in newest.entries_by_service.keys() {
            let daemon_rank = newest.daemon_rank(own, service);
            counts.insert(service.clone(), daemon_rank.map_or(0, |rank| rank.daemons));
        }
        self.budgets.borrow_mut().set_entries(&counts, now);
        self.log_share_changes(now);
        allotments::set_parts(self, newest, now);
        for (service, entries) in &newest.entries_by_service {
            let entries: Vec<EntryDaemon<'_>> = entries
                .iter()
                .map(|(host, member)| EntryDaemon {
                    host,
                    failure_domain: &member.failure_domain,
                })
                .collect();
            self.targets.borrow_mut().set_homes(service, &entries);
        }
    }

    /// Logs the parts of the slack that have changed.
    fn log_share_changes(&self, now: TimeMs) {
        for change in self.budgets.borrow_mut().take_share_changes(now) {
            log::info!(
                "event=budget_share service={} entries={} slack={:.1}",
                change.service,
                change.entries,
                change.own_slack
            );
        }
    }

    /// Forgets the saved resends if the host was suspended since the last call. Call
    /// this before a resend is taken.
    pub(super) fn check_suspension(&self) {
        let suspended = self.suspension.borrow_mut().check(read_suspension_clocks());
        let Some(suspended_ms) = suspended else {
            return;
        };
        let now = self.shared.clock.now();
        self.budgets.borrow_mut().clear_saved(now);
        self.allotments.table.borrow_mut().forget_tokens(now);
        log::warn!("event=suspended ms={}", suspended_ms.0);
    }

    /// Returns this daemon's rank among the entry daemons of a service; `None` if it
    /// is not one of them.
    pub(super) fn daemon_rank(&self, service: &ServiceName) -> Option<DaemonRank> {
        let view = self.view.borrow();
        view.daemon_rank(&self.shared.settings.host.id, service)
    }

    /// Returns the size limits and timeouts for caller requests.
    pub(super) fn limits(&self) -> CallerLimits {
        let view = self.view.borrow();
        view.catalog
            .as_ref()
            .map_or_else(CallerLimits::default, |catalog| catalog.limits)
    }

    /// Returns whether the route of a request is idempotent; false if no route
    /// matches.
    pub(super) fn is_idempotent(&self, head: &RequestHead) -> bool {
        let view = self.view();
        let Some(catalog) = &view.catalog else {
            return false;
        };
        let (host, path) = super::serve::host_and_path(head);
        match match_catalog_route(catalog, &host, path) {
            Some(position) => catalog.routes[position].idempotent,
            None => false,
        }
    }

    /// Renders the metrics in the Prometheus text format.
    pub(super) fn metrics(&self) -> String {
        self.metrics.render()
    }
}

/// A handle to the running traffic thread.
pub(crate) struct TrafficThread {
    thread: JoinHandle<()>,
    wake: watch::Sender<bool>,
}

impl TrafficThread {
    /// Starts the thread and waits until it has bound its addresses.
    pub(crate) fn start(
        shared: &Arc<GatewayShared>,
        metrics: PrometheusHandle,
    ) -> io::Result<Self> {
        let (wake, wake_receiver) = watch::channel(false);
        let shared = Arc::clone(shared);
        let (bind_result_sender, bind_result_receiver) = crossbeam::channel::bounded(1);
        let thread = std::thread::Builder::new()
            .name("traffic".to_owned())
            .spawn(move || run_thread(shared, metrics, wake_receiver, &bind_result_sender))?;
        match bind_result_receiver.recv() {
            Ok(Ok(())) => Ok(Self { thread, wake }),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Wakes the thread, so that it notices the shutdown at once.
    pub(crate) fn wake(&self) {
        self.wake.send_replace(true);
    }

    /// Waits until the thread exits, after it has finished the accepted requests or
    /// the stop limit is near.
    pub(crate) fn close(self) {
        if self.thread.join().is_err() {
            log::error!("event=thread_panicked thread=traffic");
        }
    }
}

fn run_thread(
    shared: Arc<GatewayShared>,
    metrics: PrometheusHandle,
    wake: watch::Receiver<bool>,
    bind_result_sender: &crossbeam::channel::Sender<io::Result<()>>,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            // `TrafficThread::start` waits for this message.
            let _ = bind_result_sender.send(Err(error));
            return;
        }
    };
    let listen = shared.settings.listen;
    let evidence = {
        let _guard = runtime.enter();
        super::evidence::bind(listen.evidence)
    };
    let evidence = match evidence {
        Ok(evidence) => evidence,
        Err(error) => {
            let text = format!("binding {} failed: {error}", listen.evidence);
            // `TrafficThread::start` waits for this message.
            let _ = bind_result_sender.send(Err(io::Error::new(error.kind(), text)));
            return;
        }
    };
    let memory_mb = shared.settings.memory_mb.or_else(host_memory_mb);
    let memory = MemoryAccount::new(MemoryLimits::of_host(memory_mb));
    let uses_expected_cost = shared.settings.expected_cost;
    let mut targets = LiveTargets::new(&shared.settings.host.id);
    targets.set_uses_expected_work(uses_expected_cost);
    let targets = RefCell::new(targets);
    let budgets = RefCell::new(ResendBudgets::new(resend_policy(&shared.bounds)));
    let allotments = start_allotments(&shared);
    let (lost_connections, lost_receiver) = unbounded_channel();
    let shutdown = Shutdown::new(&shared);
    let state = Rc::new(TrafficState {
        shared,
        view: RefCell::default(),
        targets,
        pool: RefCell::default(),
        connection_reuse: Cell::default(),
        memory,
        budgets,
        allotments,
        suspension: RefCell::new(SuspensionDetector::new(read_suspension_clocks())),
        service_stats: RefCell::default(),
        queues: RefCell::default(),
        queue_filled: Notify::new(),
        routes: RefCell::default(),
        costs: uses_expected_cost.then(RefCell::default),
        poison: RefCell::default(),
        lost_connections,
        told_number: Cell::new(0),
        relay_turn: Cell::new(0),
        evidence,
        rng: RefCell::new(Pcg64Mcg::from_rng(&mut rand::rng())),
        shutdown,
        gauges_updated_at: Cell::new(TimeMs(0)),
        metrics,
    });
    let local = LocalSet::new();
    local.spawn_local(crash_check::run(Rc::clone(&state), lost_receiver));
    local.block_on(&runtime, run(&state, wake, bind_result_sender));
}

/// Creates the allotments of this process, without parts.
fn start_allotments(shared: &GatewayShared) -> Allotments {
    let host = &shared.settings.host;
    let table = AllotmentTable::new(
        host.id.clone(),
        host.failure_domain.clone(),
        shared.bounds.quota_window_ms,
        shared.clock.now(),
    );
    Allotments::new(table, &host.id, rand::random())
}

/// Returns the fleet-wide limit on retries.
fn resend_policy(bounds: &FleetBounds) -> ResendPolicy {
    ResendPolicy {
        ratio: bounds.retry_budget_ratio,
        slack: bounds.retry_slack,
        window_ms: bounds.retry_window_ms,
    }
}

async fn run(
    state: &Rc<TrafficState>,
    mut wake: watch::Receiver<bool>,
    bind_result_sender: &crossbeam::channel::Sender<io::Result<()>>,
) {
    let listen = state.shared.settings.listen;
    let endpoints = [
        (listen.callers, Endpoint::Callers),
        (listen.directory, Endpoint::Directory),
        (listen.readiness, Endpoint::Readiness),
        (listen.metrics, Endpoint::Metrics),
        (listen.news, Endpoint::Daemons),
        (listen.control, Endpoint::Daemons),
    ];
    for (address, endpoint) in endpoints {
        match endpoint::bind(address) {
            Ok(listener) => {
                let state = Rc::clone(state);
                tokio::task::spawn_local(endpoint::accept(state, listener, endpoint));
            }
            Err(error) => {
                let text = format!("binding {address} failed: {error}");
                // `TrafficThread::start` waits for this message.
                let _ = bind_result_sender.send(Err(io::Error::new(error.kind(), text)));
                return;
            }
        }
    }
    tokio::task::spawn_local(super::evidence::receive(Rc::clone(state)));
    // `TrafficThread::start` waits for this message.
    let _ = bind_result_sender.send(Ok(()));
    let mut ticked_at = tokio::time::Instant::now();
    loop {
        let is_busy = state
            .queues
            .borrow()
            .values()
            .any(|queue| !queue.is_empty());
        let is_stopping = state.shared.stopping_since().is_some();
        let wait = if is_busy || is_stopping {
            BUSY_TICK
        } else {
            IDLE_TICK
        };
        tokio::select! {
            () = tokio::time::sleep_until(ticked_at + wait) => {}
            // The next tick is now due sooner.
            () = state.queue_filled.notified() => continue,
            _ = wake.changed(), if !is_stopping => {}
        }
        ticked_at = tokio::time::Instant::now();
        tick(state);
        if state.shutdown.advance(state.shared.clock.now()) == StopPhase::Closing {
            state.shutdown.wait_for_closed_connections().await;
            return;
        }
    }
}

/// Runs the periodic tasks once: synchronizes with the newest view, closes idle
/// connections, serves the queues and updates the gauges.
fn tick(state: &TrafficState) {
    state.view();
    state.pool.borrow_mut().close_idle();
    let services: Vec<ServiceName> = state.queues.borrow().keys().cloned().collect();
    for service in &services {
        super::queue::assign_free_slots(state, service);
    }
    let now = state.shared.clock.now();
    if now.since(state.gauges_updated_at.get()) < GAUGE_INTERVAL_MS {
        return;
    }
    state.gauges_updated_at.set(now);
    state.check_suspension();
    state.log_share_changes(now);
    allotments::tick(state, now);
    state.targets.borrow_mut().expire_statements(now);
    for kind in MemoryKind::ALL {
        metrics::gauge!("agatehold_memory_held_bytes", "kind" => kind.as_str())
            .set(state.memory.held_bytes(kind) as f64);
    }
    for service in &services {
        update_target_gauges(state, service, now);
    }
}

/// Updates the gauges that count the targets of a service by state.
fn update_target_gauges(state: &TrafficState, service: &ServiceName, now: TimeMs) {
    let state_counts = count_target_states(&state.targets.borrow(), service, now);
    let counts = [
        ("used", state_counts.used),
        ("idle", state_counts.idle),
        ("held", state_counts.held),
        ("unreachable", state_counts.unreachable),
        ("leaving", state_counts.leaving),
        ("paused", state_counts.paused),
    ];
    for (state_name, count) in counts {
        metrics::gauge!("agatehold_targets",
            "service" => service.to_string(), "state" => state_name)
        .set(f64::from(count));
    }
    if let Some(work) = state.targets.borrow().work_of(service) {
        metrics::gauge!("agatehold_cost_log_error", "service" => service.to_string())
            .set(work.mean_log_error);
    }
}
