//! Recovery of fleets under load after losses of daemons and of the platform.

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
use agatehold_testing::common::switch_control;
use agatehold_testing::common::unix_now;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::fleet::Signal;
use agatehold_testing::history::CallRecord;
use agatehold_wire::addresses;

const FLEET_SIZES: [usize; 2] = [36, 48];

/// The callers, each with an address book of its own.
const CALLERS: usize = 8;

/// The requests a second of one caller.
const CALLER_RATE_PER_S: f64 = 25.0;

/// The requests in a row that have to succeed.
const SUCCESSES: usize = 100;

/// How long the callers send before the fault.
const BEFORE: Duration = Duration::from_secs(2);

/// How long the callers send after the fault; address answers hold for 10 to
/// 30 s, so that callers with old answers are seen as well.
const AFTER: Duration = Duration::from_secs(15);

/// How long the fleet settles after the start and after lost daemons return.
const SETTLE: Duration = Duration::from_secs(8);

/// The pause between two rounds over the address answers.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// How long a daemon may take for an address answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What happens to a fleet.
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
    /// Returns the daemons that are killed; host `n` is in failure domain `n`
    /// modulo 3.
    fn lost(self, daemons: usize) -> Vec<usize> {
        match self {
            Self::OneDaemon => vec![1],
            Self::ThirdOfDaemons => (0..daemons / 3).collect(),
            Self::FailureDomain => (0..daemons).step_by(3).collect(),
            Self::PlatformDown | Self::PlatformUp => Vec::new(),
        }
    }
}

/// One request with all its attempts.
#[derive(Clone, Copy, Debug)]
struct RequestRow {
    started_at: TimeMs,
    ended_at: TimeMs,
    attempts: u32,
    is_success: bool,
    is_first_success: bool,
}

/// What a fault did to the requests.
#[derive(Clone, Copy, Debug, Default)]
struct Damage {
    /// The time until the first of so many successes in a row had started.
    recovered_after: Option<DurationMs>,
    requests: usize,
    failed: usize,
    /// Requests whose first attempt failed.
    first_failed: usize,
    /// The same time for first attempts.
    first_recovered_after: Option<DurationMs>,
}

/// Prints the recovery by size of the fleet and fault.
pub(crate) fn run(daemon: &Path) -> Result<(), Box<dyn Error>> {
    println!(
        "| daemons | fault | killed | until {SUCCESSES} requests in a row succeed, s | failed \
         requests after the fault | until {SUCCESSES} first attempts in a row succeed, s | failed \
         first attempts after the fault | until no address answer names a lost daemon, s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for daemons in FLEET_SIZES {
        let options = FleetOptions {
            daemons,
            ..FleetOptions::default()
        };
        let fleet = Fleet::start(daemon, options)?;
        thread::sleep(SETTLE);
        for (fault, name) in FAULTS {
            measure(&fleet, fault, name)?;
        }
        fleet.close()?;
    }
    Ok(())
}

fn measure(fleet: &Fleet, fault: FaultKind, name: &str) -> Result<(), Box<dyn Error>> {
    let callers = start_callers(fleet)?;
    thread::sleep(BEFORE);
    let lost = fault.lost(fleet.daemons.len());
    let fault_at = unix_now();
    let started = Instant::now();
    strike(fleet, fault, &lost)?;
    let forgotten_after = wait_until_forgotten(fleet, &lost);
    thread::sleep(AFTER.saturating_sub(started.elapsed()));
    let mut records = Vec::new();
    for (number, running) in callers.into_iter().enumerate() {
        running.stop();
        for record in running.join() {
            records.push((number, record));
        }
    }
    let damage = assess(&request_rows(&records), fault_at);
    let seconds = |time: Option<DurationMs>| match time {
        Some(time) => format!("{:.2}", time.0 as f64 / 1e3),
        None => format!("not within {}", AFTER.as_secs()),
    };
    let share = |failed: usize| {
        let percent = 100.0 * failed as f64 / damage.requests.max(1) as f64;
        format!("{failed} of {} ({percent:.2}%)", damage.requests)
    };
    let forgotten = match (lost.is_empty(), forgotten_after) {
        (true, _) => "-".to_owned(),
        (false, time) => seconds(time),
    };
    println!(
        "| {} | {name} | {} | {} | {} | {} | {} | {forgotten} |",
        fleet.daemons.len(),
        lost.len(),
        seconds(damage.recovered_after),
        share(damage.failed),
        seconds(damage.first_recovered_after),
        share(damage.first_failed),
    );
    bring_back(fleet, &lost)
}

fn start_callers(fleet: &Fleet) -> Result<Vec<RunningCaller>, Box<dyn Error>> {
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let service = "certificates".parse().map_err(|error| format!("{error}"))?;
        let tenant = "exporter".parse().map_err(|error| format!("{error}"))?;
        let mut known = fleet.callers();
        // Each caller asks another daemon first.
        known.rotate_left(number * fleet.daemons.len() / CALLERS);
        let mut options = CallerOptions::new(known, service, tenant);
        options.name = format!("caller-{number}").into();
        options.shape.method = http::Method::GET;
        options.shape.keys = KeyMode::None;
        options.shape.is_non_idempotent = false;
        options.load = Load::Open(RequestsPerSecond::new(CALLER_RATE_PER_S).unwrap_or_default());
        options.count = u64::MAX;
        options.patience_ms = DurationMs(5_000);
        callers.push(caller::start(options)?);
    }
    Ok(callers)
}

fn strike(fleet: &Fleet, fault: FaultKind, lost: &[usize]) -> Result<(), Box<dyn Error>> {
    for index in lost {
        fleet.daemons[*index].signal(Signal::Kill)?;
    }
    let control = fleet.platform.control;
    match fault {
        FaultKind::PlatformDown => switch_control(control, &json!({ "down": true }))?,
        FaultKind::PlatformUp => switch_control(control, &json!({ "down": false }))?,
        FaultKind::OneDaemon | FaultKind::ThirdOfDaemons | FaultKind::FailureDomain => {}
    }
    Ok(())
}

/// Waits until no running daemon names a lost one, for as long as the callers
/// send, and returns how long that took.
fn wait_until_forgotten(fleet: &Fleet, lost: &[usize]) -> Option<DurationMs> {
    let started = Instant::now();
    let mut lost_addresses = Vec::new();
    let mut asked = Vec::new();
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let list = if lost.contains(&index) {
            &mut lost_addresses
        } else {
            &mut asked
        };
        list.push(daemon.callers);
    }
    // The answer may change back, so that each round asks every daemon.
    while started.elapsed() < AFTER {
        let round = started.elapsed();
        if asked.iter().all(|daemon| !names(*daemon, &lost_addresses)) {
            return Some(DurationMs(
                u64::try_from(round.as_millis()).unwrap_or(u64::MAX),
            ));
        }
        thread::sleep(POLL_PAUSE);
    }
    None
}

/// Returns whether a daemon gives one of the addresses to callers.
fn names(daemon: SocketAddr, lost: &[SocketAddr]) -> bool {
    let url = format!("http://{daemon}/.well-known/agatehold/addresses?service=certificates");
    let client = Client::new().with_global_timeout(ANSWER_TIMEOUT);
    let Ok(request) = Request::get(url).body(Body::empty()) else {
        return true;
    };
    let body = client.request(request).map(|answer| answer.into_body());
    let body = body.and_then(Body::to_vec).unwrap_or_default();
    // A daemon that gives no answer is asked again in the next round.
    match addresses::decode(&body) {
        Some(answer) => answer.addresses.iter().any(|a| lost.contains(a)),
        None => true,
    }
}

/// Joins the attempts of each request, in the order of the requests' starts.
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

/// Counts the failures from the fault on. Requests in flight at the fault
/// belong to it.
fn assess(rows: &[RequestRow], fault_at: TimeMs) -> Damage {
    let mut damage = Damage::default();
    let after = rows.iter().filter(|row| row.ended_at >= fault_at);
    let after: Vec<&RequestRow> = after.collect();
    for row in &after {
        damage.requests += 1;
        damage.failed += usize::from(!row.is_success);
        damage.first_failed += usize::from(!row.is_first_success);
    }
    damage.recovered_after = first_run(&after, fault_at, |row| row.is_success);
    damage.first_recovered_after = first_run(&after, fault_at, |row| row.is_first_success);
    damage
}

/// Returns when the first run of successes began.
fn first_run(
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
        if length >= SUCCESSES {
            return began_at.map(|began_at| began_at.since(fault_at));
        }
    }
    None
}

fn bring_back(fleet: &Fleet, lost: &[usize]) -> Result<(), Box<dyn Error>> {
    for index in lost {
        fleet.daemons[*index].wait()?;
        fleet.daemons[*index].restart()?;
    }
    fleet.wait_for_note(fleet.notes.head().number)?;
    if !lost.is_empty() {
        thread::sleep(SETTLE);
    }
    Ok(())
}
