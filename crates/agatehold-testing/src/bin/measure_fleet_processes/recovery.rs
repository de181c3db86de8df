//! Measures the recovery of fleets under load after daemons or the platform are
//! lost.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Request;
use serde_json::json;

use agatehold_core::units::DurationMs;
use agatehold_core::units::RequestsPerSecond;
use agatehold_core::units::TimeMs;
use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::caller::KeyMode;
use agatehold_testing::caller::Load;
use agatehold_testing::caller::RunningCaller;
use agatehold_testing::common::post_control;
use agatehold_testing::common::unix_now;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::fleet::Signal;
use agatehold_testing::history::CallRecord;
use agatehold_wire::addresses;

const FLEET_SIZES: [usize; 2] = [36, 48];

/// The number of callers. Each one caches address responses on its own.
const CALLER_COUNT: usize = 8;

/// The number of requests per second of each caller.
const CALLER_RATE_PER_S: f64 = 25.0;

/// The fleet counts as recovered once this many requests in a row succeed.
const REQUIRED_SUCCESSES: usize = 100;

/// How long the callers send before the fault.
const LOAD_TIME_BEFORE_FAULT: Duration = Duration::from_secs(2);

/// How long the callers send after the fault. Address responses are valid for
/// 10 to 30 s, so that callers with outdated addresses are measured as well.
const LOAD_TIME_AFTER_FAULT: Duration = Duration::from_secs(15);

/// How long the fleet settles after the start and after lost daemons return.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// The delay between two rounds of requests for addresses.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The timeout of a request for addresses.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The fault that a fleet recovers from.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    OneDaemon,
    ThirdOfDaemons,
    FailureDomain,
    PlatformDown,
    PlatformUp,
}

const FAULTS: [(FaultKind, &str); 5] = [
    (FaultKind::OneDaemon, "one daemon killed"),
    (FaultKind::ThirdOfDaemons, "a third killed, of all domains"),
    (FaultKind::FailureDomain, "one failure domain killed"),
    (FaultKind::PlatformDown, "platform down"),
    (FaultKind::PlatformUp, "platform up again"),
];

impl FaultKind {
    /// Returns the indices of the daemons to kill. Host `n` is in failure domain
    /// `n` modulo 3.
    fn lost(self, daemons: usize) -> Vec<usize> {
        match self {
            Self::OneDaemon => vec![1],
            Self::ThirdOfDaemons => (0..daemons / 3).collect(),
            Self::FailureDomain => (0..daemons).step_by(3).collect(),
            Self::PlatformDown | Self::PlatformUp => Vec::new(),
        }
    }
}

/// The result of a request over all its attempts.
#[derive(Clone, Copy, Debug)]
struct RequestRow {
    started_at: TimeMs,
    ended_at: TimeMs,
    attempts: u32,
    is_success: bool,
    is_first_success: bool,
}

/// The effect of a fault on the requests.
#[derive(Clone, Copy, Debug, Default)]
struct FaultImpact {
    /// The time from the fault to the start of the first `REQUIRED_SUCCESSES` requests in
    /// a row that succeeded; `None` if there were none.
    recovered_after: Option<DurationMs>,
    requests: usize,
    failed: usize,
    /// Requests whose first attempt failed.
    first_failed: usize,
    /// Like `recovered_after`, with only the first attempt of each request.
    first_recovered_after: Option<DurationMs>,
}

/// Prints the recovery times by size of the fleet and by fault.
pub(crate) fn run(daemon: &Path) -> Result<(), Box<dyn Error>> {
    println!(
        "| daemons | fault | killed | until {REQUIRED_SUCCESSES} requests in a row succeed, s | \
         failed requests after the fault | until {REQUIRED_SUCCESSES} first attempts in a row \
         succeed, s | failed first attempts after the fault | until no address answer names a lost daemon, s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for daemons in FLEET_SIZES {
        let options = FleetOptions {
            daemons,
            ..FleetOptions::default()
        };
        let fleet = Fleet::start(daemon, options)?;
        thread::sleep(SETTLE_TIME);
        for (fault, name) in FAULTS {
            measure(&fleet, fault, name)?;
        }
        fleet.close()?;
    }
    Ok(())
}

fn measure(fleet: &Fleet, fault: FaultKind, name: &str) -> Result<(), Box<dyn Error>> {
    let callers = start_callers(fleet)?;
    thread::sleep(LOAD_TIME_BEFORE_FAULT);
    let lost = fault.lost(fleet.daemons.len());
    let fault_at = unix_now();
    let started = Instant::now();
    inject_fault(fleet, fault, &lost)?;
    let removed_after = wait_until_removed(fleet, &lost);
    thread::sleep(LOAD_TIME_AFTER_FAULT.saturating_sub(started.elapsed()));
    let mut records = Vec::new();
    for (number, running) in callers.into_iter().enumerate() {
        running.stop();
        for record in running.join() {
            records.push((number, record));
        }
    }
    let impact = measure_impact(&request_rows(&records), fault_at);
    let seconds = |time: Option<DurationMs>| match time {
        Some(time) => format!("{:.2}", time.0 as f64 / 1e3),
        None => format!("not within {}", LOAD_TIME_AFTER_FAULT.as_secs()),
    };
    let share = |failed: usize| {
        let percent = 100.0 * failed as f64 / impact.requests.max(1) as f64;
        format!("{failed} of {} ({percent:.2}%)", impact.requests)
    };
    let removed = match (lost.is_empty(), removed_after) {
        (true, _) => "-".to_owned(),
        (false, time) => seconds(time),
    };
    println!(
        "| {} | {name} | {} | {} | {} | {} | {} | {removed} |",
        fleet.daemons.len(),
        lost.len(),
        seconds(impact.recovered_after),
        share(impact.failed),
        seconds(impact.first_recovered_after),
        share(impact.first_failed),
    );
    restart_daemons(fleet, &lost)
}

fn start_callers(fleet: &Fleet) -> Result<Vec<RunningCaller>, Box<dyn Error>> {
    let mut callers = Vec::new();
    for number in 0..CALLER_COUNT {
        let service = "certificates".parse().map_err(|error| format!("{error}"))?;
        let tenant = "exporter".parse().map_err(|error| format!("{error}"))?;
        let mut known = fleet.caller_addresses();
        // Each caller begins with another daemon.
        known.rotate_left(number * fleet.daemons.len() / CALLER_COUNT);
        let mut options = CallerOptions::new(known, service, tenant);
        options.name = format!("caller-{number}").into();
        options.shape.method = http::Method::GET;
        options.shape.keys = KeyMode::None;
        options.shape.is_non_idempotent = false;
        options.load = Load::Open(RequestsPerSecond::new(CALLER_RATE_PER_S).unwrap_or_default());
        options.count = u64::MAX;
        options.response_timeout_ms = DurationMs(5_000);
        callers.push(caller::start(options)?);
    }
    Ok(callers)
}

fn inject_fault(fleet: &Fleet, fault: FaultKind, lost: &[usize]) -> Result<(), Box<dyn Error>> {
    for index in lost {
        fleet.daemons[*index].signal(Signal::Kill)?;
    }
    let control = fleet.platform.control;
    match fault {
        FaultKind::PlatformDown => post_control(control, &json!({ "down": true }))?,
        FaultKind::PlatformUp => post_control(control, &json!({ "down": false }))?,
        FaultKind::OneDaemon | FaultKind::ThirdOfDaemons | FaultKind::FailureDomain => {}
    }
    Ok(())
}

/// Waits until the address responses of the running daemons contain no lost
/// daemon, and returns how long that took. Gives up when the callers stop
/// sending, and then returns `None`.
fn wait_until_removed(fleet: &Fleet, lost: &[usize]) -> Option<DurationMs> {
    let started = Instant::now();
    let mut lost_addresses = Vec::new();
    let mut running_daemons = Vec::new();
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let list = if lost.contains(&index) {
            &mut lost_addresses
        } else {
            &mut running_daemons
        };
        list.push(daemon.callers);
    }
    // An address response may contain a lost daemon again later, so that each
    // round has to check every daemon.
    while started.elapsed() < LOAD_TIME_AFTER_FAULT {
        let round = started.elapsed();
        if running_daemons
            .iter()
            .all(|daemon| !lists_any(*daemon, &lost_addresses))
        {
            return Some(DurationMs(
                u64::try_from(round.as_millis()).unwrap_or(u64::MAX),
            ));
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}

/// Returns whether the address response of `daemon` contains one of the `lost`
/// addresses, or can't be read.
fn lists_any(daemon: SocketAddr, lost: &[SocketAddr]) -> bool {
    let url = format!("http://{daemon}/.well-known/agatehold/addresses?service=certificates");
    let client = Client::new().with_global_timeout(ANSWER_TIMEOUT);
    let Ok(request) = Request::get(url).body(Body::empty()) else {
        return true;
    };
    let body = client.request(request).map(|answer| answer.into_body());
    let body = body.and_then(Body::to_vec).unwrap_or_default();
    // Without a valid response, the daemon is checked again in the next round.
    match addresses::decode(&body) {
        Some(answer) => answer.addresses.iter().any(|a| lost.contains(a)),
        None => true,
    }
}

/// Combines the attempts of each request into a row. The rows are sorted by the
/// start of the request.
fn request_rows(records: &[(usize, CallRecord)]) -> Vec<RequestRow> {
    let mut rows: BTreeMap<(usize, u64), RequestRow> = BTreeMap::new();
    for (caller, record) in records {
        let is_success = record.is_success();
        let ended_at = record.sent_at + DurationMs(record.total_us / 1_000);
        let row = rows
            .entry((*caller, record.number))
            .or_insert_with(|| RequestRow {
                started_at: record.sent_at,
                ended_at,
                attempts: 0,
                is_success,
                is_first_success: false,
            });
        row.started_at = row.started_at.min(record.sent_at);
        row.is_first_success |= record.attempt == 1 && is_success;
        if record.attempt >= row.attempts {
            row.attempts = record.attempt;
            row.is_success = is_success;
            row.ended_at = ended_at;
        }
    }
    let mut rows: Vec<RequestRow> = rows.into_values().collect();
    rows.sort_unstable_by_key(|row| row.started_at);
    rows
}

/// Counts the failures after the fault. Requests that were in flight at the time
/// of the fault are included.
fn measure_impact(rows: &[RequestRow], fault_at: TimeMs) -> FaultImpact {
    let mut impact = FaultImpact::default();
    let after = rows.iter().filter(|row| row.ended_at >= fault_at);
    let after: Vec<&RequestRow> = after.collect();
    for row in &after {
        impact.requests += 1;
        impact.failed += usize::from(!row.is_success);
        impact.first_failed += usize::from(!row.is_first_success);
    }
    impact.recovered_after = first_success_streak(&after, fault_at, |row| row.is_success);
    impact.first_recovered_after =
        first_success_streak(&after, fault_at, |row| row.is_first_success);
    impact
}

/// Returns the time from the fault to the start of the first `REQUIRED_SUCCESSES`
/// consecutive rows for which `holds` returns true.
fn first_success_streak(
    rows: &[&RequestRow],
    fault_at: TimeMs,
    holds: impl Fn(&RequestRow) -> bool,
) -> Option<DurationMs> {
    let mut began_at = None;
    let mut length = 0;
    for row in rows {
        if !holds(row) {
            began_at = None;
            length = 0;
            continue;
        }
        began_at = began_at.or(Some(row.started_at));
        length += 1;
        if length >= REQUIRED_SUCCESSES {
            return began_at.map(|began_at| began_at.since(fault_at));
        }
    }
    None
}

fn restart_daemons(fleet: &Fleet, lost: &[usize]) -> Result<(), Box<dyn Error>> {
    for index in lost {
        fleet.daemons[*index].wait()?;
        fleet.daemons[*index].restart()?;
    }
    fleet.wait_for_note(fleet.notes.head().number)?;
    if !lost.is_empty() {
        thread::sleep(SETTLE_TIME);
    }
    Ok(())
}
