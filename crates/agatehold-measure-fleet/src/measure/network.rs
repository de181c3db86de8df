//! What daemons send, and how fast news travel.

use agatehold_core::membership::PeerRow;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use crate::configs;
use crate::configs::ConfigSize;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;
use crate::fleet::PlatformCalls;

/// The sizes of fleets that are measured.
const SIZES: [u32; 5] = [12, 36, 48, 220, 880];

/// The bytes that HTTP/2 and TCP/IP add to one exchange, both ways together.
///
/// Request: 52 for IP and TCP with timestamps, 9 + 60 for HEADERS with
/// indexed fields, 9 + 5 for DATA and the gRPC prefix. Answer: 52, 9 + 20 for
/// HEADERS, 9 + 5 for DATA, 9 + 15 for trailers. Two bare acknowledgements of
/// 52 each, and 13 + 52 for a WINDOW_UPDATE. Ethernet is left out.
const EXCHANGE_OVERHEAD_BYTES: f64 = 429.0;

/// Returns the layout of a fleet of `daemons`.
pub fn plan(daemons: u32, loss: f64, seed: u64) -> FleetPlan {
    FleetPlan {
        daemons,
        domains: if daemons >= 220 { 7 } else { 3 },
        loss,
        seed,
    }
}

fn wait(fleet: &mut Fleet, ms: u64) {
    let end = fleet.now + DurationMs(ms);
    fleet::advance(fleet, end);
}

/// The bytes a second of one daemon, sent and received together.
#[derive(Clone, Copy, Debug)]
pub struct PeerBytes {
    /// The mean over all daemons, of message bodies with their envelopes.
    pub messages: f64,
    /// The mean with the overhead of HTTP/2 and TCP.
    pub mean: f64,
    /// The busiest daemon's, with the overhead.
    pub busiest: f64,
}

/// Measures a fleet for 30 s while `restarts` daemons restart in that time.
pub fn peer_bytes_of(daemons: u32, restarts: u32) -> PeerBytes {
    const SECONDS: u32 = 30;
    let mut fleet = fleet::warm(plan(daemons, 0.001, 7));
    fleet.measure_bytes = true;
    for (_, row) in fleet.daemons.rows_mut() {
        row.exchanges = 0;
    }
    for second in 0..SECONDS {
        if second < restarts {
            fleet::restart(&mut fleet, &configs::host(second));
        }
        wait(&mut fleet, 1_000);
    }
    let seconds = f64::from(SECONDS);
    let count = f64::from(daemons);
    let mut messages = 0.0;
    let mut all = 0.0;
    let mut busiest: f64 = 0.0;
    for (_, row) in fleet.daemons.rows() {
        let bytes = to_f64(row.sent_bytes + row.received_bytes) / seconds;
        // Each exchange that a daemon begins is matched by one that it
        // answers on average.
        let overhead = 2.0 * to_f64(row.exchanges) * EXCHANGE_OVERHEAD_BYTES / seconds;
        messages += bytes / count;
        all += (bytes + overhead) / count;
        busiest = busiest.max(bytes + overhead);
    }
    PeerBytes {
        messages,
        mean: all,
        busiest,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Prints the bytes a second of a daemon.
pub fn peer_bytes() {
    println!("| daemons | state | messages B/s | with overhead B/s | busiest B/s |");
    println!("| ---: | --- | ---: | ---: | ---: |");
    for daemons in SIZES {
        for (state, restarts) in [("idle", 0), ("1 restart in 30 s", 1)] {
            let bytes = peer_bytes_of(daemons, restarts);
            println!(
                "| {daemons} | {state} | {:.0} | {:.0} | {:.0} |",
                bytes.messages, bytes.mean, bytes.busiest
            );
        }
    }
}

/// Returns the time until each daemon held a note, in order, over `runs`
/// seeds. Without the platform, the note is pushed to three daemons.
pub fn spread_times(daemons: u32, loss: f64, platform: bool, runs: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for seed in 0..runs {
        let mut fleet = fleet::warm(plan(daemons, loss, seed));
        fleet.platform.up = platform;
        let record = fleet::release(&mut fleet, "tenant 900", configs::tenant_note(900));
        if !platform {
            for number in 0..3 {
                fleet::push_note(&mut fleet, &configs::host(number), &record);
            }
        }
        let begin = fleet.now;
        let head = record.header.head();
        let mut held = vec![false; fleet.daemons.len()];
        while fleet.now.since(begin) < DurationMs(60_000) && held.contains(&false) {
            wait(&mut fleet, 50);
            let passed = fleet.now.since(begin).0;
            for (held, (_, row)) in held.iter_mut().zip(fleet.daemons.rows()) {
                if !*held && row.replication.log.head == head {
                    *held = true;
                    times.push(passed);
                }
            }
        }
        for _ in held.iter().filter(|held| !**held) {
            times.push(u64::MAX);
        }
    }
    times.sort_unstable();
    times
}

fn quantile(sorted: &[u64], hundredths: usize) -> u64 {
    let place = (sorted.len() * hundredths).div_ceil(100).max(1) - 1;
    sorted[place]
}

/// Prints the time until a note is in force.
pub fn note_spread() {
    println!("| daemons | loss | platform | p50 ms | p99 ms | max ms |");
    println!("| ---: | ---: | --- | ---: | ---: | ---: |");
    for daemons in SIZES {
        for (loss, platform) in [(0.0, true), (0.05, true), (0.05, false)] {
            let runs = if daemons > 100 { 3 } else { 10 };
            let times = spread_times(daemons, loss, platform, runs);
            println!(
                "| {daemons} | {loss} | {} | {} | {} | {} |",
                if platform { "up" } else { "gone, 3 pushes" },
                quantile(&times, 50),
                quantile(&times, 99),
                quantile(&times, 100)
            );
        }
    }
}

/// Counts the calls of an idle fleet in 60 s.
pub fn platform_calls_of(daemons: u32) -> PlatformCalls {
    let mut fleet = fleet::warm(plan(daemons, 0.001, 7));
    fleet.platform.calls = PlatformCalls::default();
    wait(&mut fleet, 60_000);
    fleet.platform.calls
}

/// Prints the calls a second to the platform.
pub fn platform_calls() {
    println!("| daemons | watch head | read head | read notes | read hosts | all a second |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for daemons in [1, 12, 36, 48, 880] {
        let calls = platform_calls_of(daemons);
        let a_second = |count: u64| to_f64(count) / 60.0;
        let all = calls.watch_head + calls.read_head + calls.read_notes + calls.read_hosts;
        println!(
            "| {daemons} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
            a_second(calls.watch_head),
            a_second(calls.read_head),
            a_second(calls.read_notes),
            a_second(calls.read_hosts),
            a_second(all)
        );
    }
}

/// Returns, for each of `runs` seeds, the time until no daemon offers a host
/// that was killed, and the time until all daemons took it for gone.
pub fn detection_times(daemons: u32, loss: f64, runs: u64) -> Vec<(u64, u64)> {
    let mut times = Vec::new();
    for seed in 0..runs {
        let mut fleet = fleet::warm(plan(daemons, loss, seed));
        let victim = u32::try_from(seed * 7 % u64::from(daemons)).unwrap_or(0);
        let host = configs::host(victim);
        fleet::kill(&mut fleet, &host);
        let begin = fleet.now;
        let unoffered = wait_until(&mut fleet, victim, begin, |row| !row.is_available());
        let gone = wait_until(&mut fleet, victim, begin, |row| {
            row.standing.name() == "gone"
        });
        times.push((unoffered, gone));
    }
    times
}

/// Waits until `holds` is true of the victim's row at every other daemon.
fn wait_until(
    fleet: &mut Fleet,
    victim: u32,
    begin: TimeMs,
    holds: impl Fn(&PeerRow) -> bool,
) -> u64 {
    let host = configs::host(victim);
    loop {
        let rows = fleet.daemons.rows();
        let left = rows
            .filter(|(id, row)| row.running && **id != host)
            .filter_map(|(_, row)| row.membership.peers.get(&host))
            .any(|row| !holds(row));
        let passed = fleet.now.since(begin).0;
        if !left || passed > 60_000 {
            return passed;
        }
        wait(fleet, 50);
    }
}

/// Prints the time until a killed host is out of address answers.
pub fn detection_of_loss() {
    println!(
        "| daemons | loss | unoffered mean ms | unoffered max ms | gone mean ms | gone max ms |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for daemons in SIZES {
        for loss in [0.0, 0.02] {
            let runs = if daemons > 100 { 4 } else { 12 };
            let times = detection_times(daemons, loss, runs);
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

/// Returns a configuration size for fleets of `daemons`.
pub(super) fn config_size(daemons: u32) -> ConfigSize {
    if daemons >= 220 {
        return ConfigSize::of_design(daemons * 100 / 880);
    }
    ConfigSize::certiverde()
}
