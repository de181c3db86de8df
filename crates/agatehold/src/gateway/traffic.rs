//! The traffic thread: its tables and the systems that run over them.

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
use tokio::sync::watch;
use tokio::task::LocalSet;

use agatehold_core::catalog::CallerLimits;
use agatehold_core::catalog::match_catalog_route;
use agatehold_core::dispatch::LiveTargets;
use agatehold_core::dispatch::ResendBudget;
use agatehold_core::dispatch::ResendPolicy;
use agatehold_core::dispatch::ServiceRecord;
use agatehold_core::dispatch::TargetShare;
use agatehold_core::dispatch::target_census;
use agatehold_core::ids::ServiceName;
use agatehold_core::poison::PoisonTable;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use super::endpoint;
use super::endpoint::Endpoint;
use super::http1::RequestHead;
use super::pool::TargetPool;
use super::queue::ServiceQueue;
use super::routes::RouteState;
use super::shared::GatewayShared;
use super::shared::View;

/// The time between two runs of the systems while requests wait.
const BUSY_TICK: Duration = Duration::from_millis(50);

/// The time between two runs of the systems otherwise.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// The least time between two updates of the gauges of targets.
const GAUGE_EACH_MS: DurationMs = DurationMs(1_000);

/// The time after the signal from which a stopping daemon refuses: a request
/// taken later might not end before the process is killed. Half of the limit.
const REFUSE_AFTER_SHARE: u64 = 2;

/// The time before the limit at which a stopping daemon ends what is left.
const STOP_MARGIN_MS: DurationMs = DurationMs(400);

/// The time without a new connection after which a stopping daemon that has
/// nothing to do ends.
const QUIET_MS: DurationMs = DurationMs(1_000);

/// The least time that a stopping daemon serves: until other daemons no longer
/// hand out its address.
const STOP_LEAST_MS: DurationMs = DurationMs(3_000);

/// The tables of the traffic thread.
pub(super) struct TrafficState {
    /// The state of the process.
    pub(super) shared: Arc<GatewayShared>,
    /// The view that the tables follow.
    view: RefCell<Arc<View>>,
    /// The targets.
    pub(super) targets: RefCell<LiveTargets>,
    /// The idle connections to targets.
    pub(super) pool: RefCell<TargetPool>,
    /// The second sends of each service.
    pub(super) budgets: RefCell<HashMap<ServiceName, ResendBudget>>,
    /// How the requests of each service fare.
    pub(super) records: RefCell<HashMap<ServiceName, ServiceRecord>>,
    /// The requests that wait for a slot of each service.
    pub(super) queues: RefCell<HashMap<ServiceName, ServiceQueue>>,
    /// What is known of each route, by its name.
    pub(super) routes: RefCell<HashMap<Box<str>, RouteState>>,
    /// Requests that were in a target when it crashed.
    pub(super) poison: RefCell<PoisonTable>,
    /// The socket on which evidence about targets comes and goes.
    pub(super) evidence: UdpSocket,
    /// The random numbers of this thread.
    pub(super) rng: RefCell<Pcg64Mcg>,
    /// Open connections of callers.
    connections: Cell<u64>,
    /// When the last one came.
    last_connection_at: Cell<TimeMs>,
    /// When the gauges of targets were set.
    gauged_at: Cell<TimeMs>,
    metrics: PrometheusHandle,
}

impl TrafficState {
    /// Returns the newest view, after bringing the tables in line with it.
    pub(super) fn view(&self) -> Arc<View> {
        let newest = self.shared.view.load();
        if newest.number != self.view.borrow().number {
            self.follow(&newest);
        }
        Arc::clone(&self.view.borrow())
    }

    fn follow(&self, newest: &Arc<View>) {
        self.view.replace(Arc::clone(newest));
        self.targets.borrow_mut().sync(
            newest
                .targets
                .iter()
                .map(|(record, seen_at)| (record, *seen_at)),
        );
        let own = &self.shared.settings.host.id;
        let now = self.shared.clock.now();
        let mut budgets = self.budgets.borrow_mut();
        for (service, entries) in &newest.entries_by_service {
            let budget = budgets
                .entry(service.clone())
                .or_insert_with(|| ResendBudget::new(self.resend_policy()));
            let is_entry = newest.is_entry(own, service);
            let count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
            budget.set_entries(if is_entry { count } else { 0 }, now);
        }
    }

    /// Returns the bound on second sends.
    pub(super) fn resend_policy(&self) -> ResendPolicy {
        let bounds = &self.shared.bounds;
        ResendPolicy {
            ratio: bounds.resend_ratio,
            slack: bounds.resend_slack,
            window_ms: bounds.resend_window_ms,
        }
    }

    /// Returns the place of this daemon among the entry daemons of a service.
    pub(super) fn target_share(&self, service: &ServiceName) -> Option<TargetShare> {
        let view = self.view.borrow();
        view.target_share(&self.shared.settings.host.id, service)
    }

    /// Returns what callers may send.
    pub(super) fn limits(&self) -> CallerLimits {
        let view = self.view.borrow();
        view.catalog
            .as_ref()
            .map_or_else(CallerLimits::default, |catalog| catalog.limits)
    }

    /// Returns whether a request may run more than once.
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

    /// Counts a new connection.
    pub(super) fn note_connection(&self, endpoint: Endpoint) {
        if endpoint != Endpoint::Callers {
            return;
        }
        self.connections.set(self.connections.get() + 1);
        self.last_connection_at.set(self.shared.clock.now());
    }

    /// Counts a connection as closed.
    pub(super) fn note_close(&self, endpoint: Endpoint) {
        if endpoint == Endpoint::Callers {
            self.connections
                .set(self.connections.get().saturating_sub(1));
        }
    }

    /// Returns the metrics as text.
    pub(super) fn metrics(&self) -> String {
        self.metrics.render()
    }

    /// Returns whether a stopping daemon refuses new requests.
    pub(super) fn refuses_new(&self) -> bool {
        let Some(since) = self.shared.stopping_since() else {
            return false;
        };
        let limit_ms = self.shared.bounds.stop_limit_ms;
        self.shared.clock.now().since(since) >= DurationMs(limit_ms.0 / REFUSE_AFTER_SHARE)
    }

    /// Returns whether a stopping daemon may end.
    fn may_end(&self, now: TimeMs) -> bool {
        let Some(since) = self.shared.stopping_since() else {
            return false;
        };
        let stopping_ms = now.since(since);
        let limit_ms = self.shared.bounds.stop_limit_ms.less(STOP_MARGIN_MS);
        if stopping_ms >= limit_ms {
            return true;
        }
        let in_flight = self
            .shared
            .in_flight
            .load(std::sync::atomic::Ordering::Acquire);
        let quiet_ms = now.since(self.last_connection_at.get());
        stopping_ms >= STOP_LEAST_MS && in_flight == 0 && quiet_ms >= QUIET_MS
    }
}

/// The running traffic thread.
pub(crate) struct TrafficThread {
    thread: JoinHandle<()>,
    wake: watch::Sender<bool>,
}

impl TrafficThread {
    /// Starts the thread, which binds the addresses.
    pub(crate) fn start(
        shared: &Arc<GatewayShared>,
        metrics: PrometheusHandle,
    ) -> io::Result<Self> {
        let (wake, wake_seen) = watch::channel(false);
        let shared = Arc::clone(shared);
        let (bound, bound_seen) = crossbeam::channel::bounded(1);
        let thread = std::thread::Builder::new()
            .name("traffic".to_owned())
            .spawn(move || run_thread(shared, metrics, wake_seen, &bound))?;
        match bound_seen.recv() {
            Ok(Ok(())) => Ok(Self { thread, wake }),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Wakes the thread, which sees that the stop has begun.
    pub(crate) fn wake(&self) {
        self.wake.send_replace(true);
    }

    /// Waits until the thread has finished what it accepted.
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
    bound: &crossbeam::channel::Sender<io::Result<()>>,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            // The starter waits for this message.
            let _ = bound.send(Err(error));
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
            // The starter waits for this message.
            let _ = bound.send(Err(io::Error::new(error.kind(), text)));
            return;
        }
    };
    let targets = RefCell::new(LiveTargets::new(&shared.settings.host.id));
    let state = Rc::new(TrafficState {
        shared,
        view: RefCell::default(),
        targets,
        pool: RefCell::default(),
        budgets: RefCell::default(),
        records: RefCell::default(),
        queues: RefCell::default(),
        routes: RefCell::default(),
        poison: RefCell::default(),
        evidence,
        rng: RefCell::new(Pcg64Mcg::from_rng(&mut rand::rng())),
        connections: Cell::new(0),
        last_connection_at: Cell::new(TimeMs(0)),
        gauged_at: Cell::new(TimeMs(0)),
        metrics,
    });
    let local = LocalSet::new();
    local.block_on(&runtime, run(&state, wake, bound));
}

async fn run(
    state: &Rc<TrafficState>,
    mut wake: watch::Receiver<bool>,
    bound: &crossbeam::channel::Sender<io::Result<()>>,
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
                // The starter waits for this message.
                let _ = bound.send(Err(io::Error::new(error.kind(), text)));
                return;
            }
        }
    }
    tokio::task::spawn_local(super::evidence::receive(Rc::clone(state)));
    // The starter waits for this message.
    let _ = bound.send(Ok(()));
    loop {
        let is_busy = state
            .queues
            .borrow()
            .values()
            .any(|queue| !queue.is_empty());
        let stops = state.shared.stopping_since().is_some();
        let wait = if is_busy || stops {
            BUSY_TICK
        } else {
            IDLE_TICK
        };
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            _ = wake.changed(), if !stops => {}
        }
        tick(state);
        if state.may_end(state.shared.clock.now()) {
            return;
        }
    }
}

/// Runs the systems once.
fn tick(state: &TrafficState) {
    state.view();
    state.pool.borrow_mut().close_idle();
    let services: Vec<ServiceName> = state.queues.borrow().keys().cloned().collect();
    for service in &services {
        super::queue::pump(state, service);
    }
    let now = state.shared.clock.now();
    if now.since(state.gauged_at.get()) < GAUGE_EACH_MS {
        return;
    }
    state.gauged_at.set(now);
    for service in &services {
        gauge_targets(state, service, now);
    }
}

/// Sets the gauges of what this daemon does with the targets of a service.
fn gauge_targets(state: &TrafficState, service: &ServiceName, now: TimeMs) {
    let census = target_census(&state.targets.borrow(), service, now);
    let counts = [
        ("used", census.used),
        ("idle", census.idle),
        ("held", census.held),
        ("unreachable", census.unreachable),
        ("leaving", census.leaving),
    ];
    for (state, count) in counts {
        metrics::gauge!("agatehold_targets",
            "service" => service.to_string(), "state" => state)
        .set(f64::from(count));
    }
}
