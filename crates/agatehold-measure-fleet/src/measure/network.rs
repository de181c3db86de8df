//! Measures the traffic between daemons, the calls to the platform, and how fast
//! notes and the loss of a host become known.

use agatehold_core::membership::PeerRow;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use crate::configs;
use crate::configs::ConfigSize;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;
use crate::fleet::PlatformCalls;

/// The measured fleet sizes as numbers of daemons.
const SIZES: [u32; 5] = [12, 36, 48, 220, 880];

/// The bytes that HTTP/2 and TCP/IP add to one exchange, in both directions
/// together.
///
/// Request: 52 for IP and TCP with timestamps, 9 + 60 for HEADERS with
/// indexed fields, 9 + 5 for DATA and the gRPC prefix. Answer: 52, 9 + 20 for
/// HEADERS, 9 + 5 for DATA, 9 + 15 for trailers. Two bare acknowledgements of
/// 52 each, and 13 + 52 for a WINDOW_UPDATE. Ethernet headers are not included.
const EXCHANGE_OVERHEAD_BYTES: f64 = 429.0;

/// Returns the plan of a fleet with `daemons` daemons.
pub fn fleet_plan(daemons: u32, loss: f64, seed: u64) -> FleetPlan {
    FleetPlan {
        daemons,
        domains: if daemons >= 220 { 7 } else { 3 },
        loss,
        seed,
    }
}

fn advance_by(fleet: &mut Fleet, ms: u64) {
    let end = fleet.now + DurationMs(ms);
    fleet::advance(fleet, end);
}

/// The bytes per second that a daemon sends and receives, added together.
#[derive(Clone, Copy, Debug)]
pub struct PeerBytes {
    /// The mean over all daemons, counting message bodies with their envelopes.
    pub messages: f64,
    /// The mean over all daemons, including `EXCHANGE_OVERHEAD_BYTES`.
    pub mean: f64,
    /// The maximum over all daemons, including `EXCHANGE_OVERHEAD_BYTES`.
    pub busiest: f64,
}

/// Measures a fleet for 30 s, in which `restarts` daemons restart, one per second.
pub fn measure_peer_bytes(daemons: u32, restarts: u32) -> PeerBytes {
    const SECONDS: u32 = 30;
    let mut fleet = fleet::warmed_up_fleet(fleet_plan(daemons, 0.001, 7));
    fleet.measure_bytes = true;
    for (_, row) in fleet.daemons.rows_mut() {
        row.exchanges = 0;
    }
    for second in 0..SECONDS {
        if second < restarts {
            fleet::restart(&mut fleet, &configs::host(second));
        }
        advance_by(&mut fleet, 1_000);
    }
    let seconds = f64::from(SECONDS);
    let count = f64::from(daemons);
    let mut messages = 0.0;
    let mut mean_with_overhead = 0.0;
    let mut busiest: f64 = 0.0;
    for (_, row) in fleet.daemons.rows() {
        let bytes = to_f64(row.sent_bytes + row.received_bytes) / seconds;
        // On average, a daemon answers as many exchanges as it starts.
        let overhead = 2.0 * to_f64(row.exchanges) * EXCHANGE_OVERHEAD_BYTES / seconds;
        messages += bytes / count;
        mean_with_overhead += (bytes + overhead) / count;
        busiest = busiest.max(bytes + overhead);
    }
    PeerBytes {
        messages,
        mean: mean_with_overhead,
        busiest,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Prints the bytes per second that a daemon sends and receives.
pub fn peer_bytes() {
    println!("| daemons | state | messages B/s | with overhead B/s | busiest B/s |");
    println!("| ---: | --- | ---: | ---: | ---: |");
    for daemons in SIZES {
        for (state, restarts) in [("idle", 0), ("1 restart in 30 s", 1)] {
            let bytes = measure_peer_bytes(daemons, restarts);
            println!(
                "| {daemons} | {state} | {:.0} | {:.0} | {:.0} |",
                bytes.messages, bytes.mean, bytes.busiest
            );
        }
    }
}

/// Returns the time in milliseconds until a note reached each daemon, for `runs`
/// seeds, in ascending order; `u64::MAX` if it took over 60 s.
///
/// With `platform` false, the platform is down and the note is pushed to three
/// daemons.
pub fn note_spread_times_ms(daemons: u32, loss: f64, platform: bool, runs: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for seed in 0..runs {
        let mut fleet = fleet::warmed_up_fleet(fleet_plan(daemons, loss, seed));
        fleet.platform.up = platform;
        let record = fleet::release_note(&mut fleet, "tenant 900", configs::tenant_note(900));
        if !platform {
            for number in 0..3 {
                fleet::push_note(&mut fleet, &configs::host(number), &record);
            }
        }
        let begin = fleet.now;
        let head = record.header.head();
        let mut reached = vec![false; fleet.daemons.len()];
        while fleet.now.since(begin) < DurationMs(60_000) && reached.contains(&false) {
            advance_by(&mut fleet, 50);
            let elapsed_ms = fleet.now.since(begin).0;
            for (reached, (_, row)) in reached.iter_mut().zip(fleet.daemons.rows()) {
                if !*reached && row.replication.log.head == head {
                    *reached = true;
                    times.push(elapsed_ms);
                }
            }
        }
        for _ in reached.iter().filter(|reached| !**reached) {
            times.push(u64::MAX);
        }
    }
    times.sort_unstable();
    times
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let index = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted[index]
}

/// Prints the time until a note reaches the daemons.
pub fn note_spread() {
    println!("| daemons | loss | platform | p50 ms | p99 ms | max ms |");
    println!("| ---: | ---: | --- | ---: | ---: | ---: |");
    for daemons in SIZES {
        for (loss, platform) in [(0.0, true), (0.05, true), (0.05, false)] {
            let runs = if daemons > 100 { 3 } else { 10 };
            let times = note_spread_times_ms(daemons, loss, platform, runs);
            println!(
                "| {daemons} | {loss} | {} | {} | {} | {} |",
                if platform { "up" } else { "gone, 3 pushes" },
                percentile(&times, 50),
                percentile(&times, 99),
                percentile(&times, 100)
            );
        }
    }
}

/// Counts the platform calls in 60 s of a fleet in which no note is released.
pub fn count_platform_calls(daemons: u32) -> PlatformCalls {
    let mut fleet = fleet::warmed_up_fleet(fleet_plan(daemons, 0.001, 7));
    fleet.platform.calls = PlatformCalls::default();
    advance_by(&mut fleet, 60_000);
    fleet.platform.calls
}

/// Prints the platform calls per second.
pub fn platform_calls() {
    println!("| daemons | watch head | read head | read notes | read hosts | all a second |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for daemons in [1, 12, 36, 48, 880] {
        let calls = count_platform_calls(daemons);
        let per_second = |count: u64| to_f64(count) / 60.0;
        let all = calls.watch_head + calls.read_head + calls.read_notes + calls.read_hosts;
        println!(
            "| {daemons} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
            per_second(calls.watch_head),
            per_second(calls.read_head),
            per_second(calls.read_notes),
            per_second(calls.read_hosts),
            per_second(all)
        );
    }
}

/// Returns, for each of `runs` seeds, two times in milliseconds after a host is
/// killed: until no daemon includes the host in address answers, and until all
/// daemons consider it gone. A time over 60 000 means that this wasn't reached.
pub fn loss_detection_times_ms(daemons: u32, loss: f64, runs: u64) -> Vec<(u64, u64)> {
    let mut times = Vec::new();
    for seed in 0..runs {
        let mut fleet = fleet::warmed_up_fleet(fleet_plan(daemons, loss, seed));
        let killed = u32::try_from(seed * 7 % u64::from(daemons)).unwrap_or(0);
        let host = configs::host(killed);
        fleet::kill(&mut fleet, &host);
        let begin = fleet.now;
        let unoffered_ms = advance_until(&mut fleet, killed, begin, |row| !row.is_available());
        let gone_ms = advance_until(&mut fleet, killed, begin, |row| {
            row.standing.name() == "gone"
        });
        times.push((unoffered_ms, gone_ms));
    }
    times
}

/// Runs the fleet until `condition` is true for the row of host `killed` at every
/// other running daemon, or 60 s have passed. Returns the milliseconds since
/// `begin`.
fn advance_until(
    fleet: &mut Fleet,
    killed: u32,
    begin: TimeMs,
    condition: impl Fn(&PeerRow) -> bool,
) -> u64 {
    let host = configs::host(killed);
    loop {
        let rows = fleet.daemons.rows();
        let is_pending = rows
            .filter(|(id, row)| row.running && **id != host)
            .filter_map(|(_, row)| row.membership.peers.get(&host))
            .any(|row| !condition(row));
        let elapsed_ms = fleet.now.since(begin).0;
        if !is_pending || elapsed_ms > 60_000 {
            return elapsed_ms;
        }
        advance_by(fleet, 50);
    }
}

/// Prints the times until a killed host is no longer in address answers and until
/// it is considered gone.
pub fn detection_of_loss() {
    println!(
        "| daemons | loss | unoffered mean ms | unoffered max ms | gone mean ms | gone max ms |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for daemons in SIZES {
        for loss in [0.0, 0.02] {
            let runs = if daemons > 100 { 4 } else { 12 };
            let times = loss_detection_times_ms(daemons, loss, runs);
            let mean = |of: fn(&(u64, u64)) -> u64| times.iter().map(of).sum::<u64>() / runs;
            let max = |of: fn(&(u64, u64)) -> u64| times.iter().map(of).max().unwrap_or(0);
            println!(
                "| {daemons} | {loss} | {} | {} | {} | {} |",
                mean(|time| time.0),
                max(|time| time.0),
                mean(|time| time.1),
                max(|time| time.1)
            );
        }
    }
}

/// Returns the configuration size for a fleet of `daemons` daemons.
pub(super) fn config_size(daemons: u32) -> ConfigSize {
    if daemons >= 220 {
        return ConfigSize::of_design(daemons * 100 / 880);
    }
    ConfigSize::certiverde()
}
