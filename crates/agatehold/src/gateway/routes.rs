//! Per-route state of the traffic thread: the position in the traffic split, the
//! average run time and the average size of responses.

use rand::RngExt;

use agatehold_core::catalog::CatalogRoute;
use agatehold_core::catalog::WeightedService;
use agatehold_core::dispatch::WeightedRoundRobin;
use agatehold_core::ids::ServiceName;
use agatehold_core::units::DurationMs;

use super::traffic::TrafficState;

/// The weight of the newest sample in the moving average of run times.
const NEWEST_RUN_WEIGHT: f64 = 0.05;

/// The weight of the newest sample in the moving average of response sizes.
const NEWEST_SIZE_WEIGHT: f64 = 0.1;

/// The state of one route.
pub(super) struct RouteState {
    /// The services and weights that `cursor` was created for.
    services: Vec<WeightedService>,
    cursor: WeightedRoundRobin,
    /// The exponential moving average of the run times of answered requests; 0
    /// until the first one.
    average_run_ms: f64,
    /// The exponential moving average of the sizes of responses; 0 until the first one.
    average_response_bytes: f64,
}

/// Returns the service for the route's next request, according to the weights
/// of the traffic split.
pub(super) fn next_service(state: &TrafficState, route: &CatalogRoute) -> ServiceName {
    if let [only] = &*route.services {
        return only.service.clone();
    }
    let mut routes = state.routes.borrow_mut();
    let row = routes
        .entry(route.name.clone())
        .or_insert_with(|| RouteState::new(state, route));
    if row.services != route.services {
        row.services.clone_from(&route.services);
        row.cursor = start_cursor(state, route);
    }
    let position = row.cursor.next(&route.services);
    route.services[position].service.clone()
}

/// Returns the average run time of the route's requests; a third of the latency
/// objective until the first request is answered.
pub(super) fn average_run(state: &TrafficState, route: &CatalogRoute) -> DurationMs {
    let routes = state.routes.borrow();
    match routes.get(&route.name) {
        Some(row) if row.average_run_ms > 0.0 => DurationMs(row.average_run_ms as u64),
        _ => DurationMs(route.objective_ms.0 / 3),
    }
}

/// Adds the run time of an answered request to the moving average.
pub(super) fn record_run(state: &TrafficState, route: &CatalogRoute, run_ms: DurationMs) {
    let mut routes = state.routes.borrow_mut();
    let row = routes
        .entry(route.name.clone())
        .or_insert_with(|| RouteState::new(state, route));
    let sample = run_ms.0 as f64;
    if row.average_run_ms == 0.0 {
        row.average_run_ms = sample;
    }
    row.average_run_ms += (sample - row.average_run_ms) * NEWEST_RUN_WEIGHT;
}

/// Returns the average size of the route's responses; 0 until the first one.
pub(super) fn expected_response(state: &TrafficState, route: &CatalogRoute) -> usize {
    let routes = state.routes.borrow();
    routes
        .get(&route.name)
        .map_or(0, |row| row.average_response_bytes as usize)
}

/// Adds the size of a response to the moving average.
pub(super) fn record_response(state: &TrafficState, route: &CatalogRoute, size_bytes: usize) {
    let mut routes = state.routes.borrow_mut();
    let row = routes
        .entry(route.name.clone())
        .or_insert_with(|| RouteState::new(state, route));
    let sample = size_bytes as f64;
    if row.average_response_bytes == 0.0 {
        row.average_response_bytes = sample;
    }
    row.average_response_bytes += (sample - row.average_response_bytes) * NEWEST_SIZE_WEIGHT;
}

fn start_cursor(state: &TrafficState, route: &CatalogRoute) -> WeightedRoundRobin {
    WeightedRoundRobin::starting_at(&route.services, state.rng.borrow_mut().random())
}

impl RouteState {
    fn new(state: &TrafficState, route: &CatalogRoute) -> Self {
        Self {
            services: route.services.clone(),
            cursor: start_cursor(state, route),
            average_run_ms: 0.0,
            average_response_bytes: 0.0,
        }
    }
}
