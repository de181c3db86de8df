//! Measures platform calls and resource usage of fleets without requests.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use agatehold_core::units::DurationMs;
use agatehold_testing::common::get_control;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;

use super::sample;

const FLEET_SIZES: [usize; 4] = [1, 12, 36, 48];

/// How long a fleet runs before it is measured, in addition to
/// `SETTLE_TIME_PER_DAEMON`.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// How much longer a fleet runs for each of its daemons. Each daemon repeats the
/// news of a joined host in 3 log2 n digests, and sends 16 rows a second, so
/// that the gossip about the start of 48 daemons lasts for 53 s.
const SETTLE_TIME_PER_DAEMON: Duration = Duration::from_millis(1_150);

/// The measured values for a size of the fleet.
struct IdleRow {
    daemons: usize,
    /// Platform calls per second by kind.
    calls_per_s: BTreeMap<String, f64>,
    cpu_percent_mean: f64,
    cpu_percent_max: f64,
    resident_mb_max: f64,
    sent_per_s_mean: f64,
    received_per_s_mean: f64,
    /// The highest sum of sent and received bytes per second of a daemon.
    bytes_per_s_max: f64,
}

/// Prints the platform calls and the resource usage of idle fleets.
pub(crate) fn run(daemon: &Path, idle_ms: DurationMs) -> Result<(), Box<dyn Error>> {
    let mut rows = Vec::new();
    for daemons in FLEET_SIZES {
        rows.push(measure(daemon, daemons, idle_ms)?);
    }
    print_calls(&rows);
    print_resources(&rows);
    Ok(())
}

fn measure(daemon: &Path, daemons: usize, idle_ms: DurationMs) -> Result<IdleRow, Box<dyn Error>> {
    let options = FleetOptions {
        daemons,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(daemon, options)?;
    let count = u32::try_from(daemons).unwrap_or(u32::MAX);
    thread::sleep(SETTLE_TIME + SETTLE_TIME_PER_DAEMON * count);
    let samples = sample::read_all(&fleet.daemons);
    let calls = get_control(fleet.platform.control, "calls")?;
    let started = Instant::now();
    thread::sleep(Duration::from_millis(idle_ms.0));
    let calls_after = get_control(fleet.platform.control, "calls")?;
    let elapsed_s = started.elapsed().as_secs_f64();
    let samples_after = sample::read_all(&fleet.daemons);
    fleet.close()?;

    let mut row = IdleRow {
        daemons,
        calls_per_s: rates(&calls, &calls_after, elapsed_s),
        cpu_percent_mean: 0.0,
        cpu_percent_max: 0.0,
        resident_mb_max: 0.0,
        sent_per_s_mean: 0.0,
        received_per_s_mean: 0.0,
        bytes_per_s_max: 0.0,
    };
    for (host, after) in samples_after.rows() {
        let Some(before) = samples.get(host) else {
            continue;
        };
        let count = daemons as f64;
        let cpu_percent = after.cpu_ms.0.saturating_sub(before.cpu_ms.0) as f64 / elapsed_s / 10.0;
        let per_s = |after: u64, before: u64| after.saturating_sub(before) as f64 / elapsed_s;
        let sent = per_s(after.sent_bytes.0, before.sent_bytes.0);
        let received = per_s(after.received_bytes.0, before.received_bytes.0);
        row.cpu_percent_mean += cpu_percent / count;
        row.cpu_percent_max = row.cpu_percent_max.max(cpu_percent);
        let resident_mb = sample::megabytes(after.resident_bytes);
        row.resident_mb_max = row.resident_mb_max.max(resident_mb);
        row.sent_per_s_mean += sent / count;
        row.received_per_s_mean += received / count;
        row.bytes_per_s_max = row.bytes_per_s_max.max(sent + received);
    }
    Ok(row)
}

fn rates(before: &Value, after: &Value, elapsed_s: f64) -> BTreeMap<String, f64> {
    let mut rates = BTreeMap::new();
    for (kind, count) in after.as_object().into_iter().flatten() {
        // The number of waiting watches is a gauge, not a counter.
        if kind == "waiting" {
            continue;
        }
        let earlier = before[kind].as_u64().unwrap_or(0);
        let more = count.as_u64().unwrap_or(0).saturating_sub(earlier);
        if more > 0 {
            rates.insert(kind.clone(), more as f64 / elapsed_s);
        }
    }
    rates
}

fn print_calls(rows: &[IdleRow]) {
    let mut kinds: Vec<&str> = Vec::new();
    for row in rows {
        for kind in row.calls_per_s.keys() {
            if !kinds.contains(&kind.as_str()) {
                kinds.push(kind);
            }
        }
    }
    kinds.sort_unstable_by_key(|kind| (*kind == "total", *kind));
    println!("| daemons | {} |", kinds.join("/s | ") + "/s");
    println!("| --- |{}", " --- |".repeat(kinds.len()));
    for row in rows {
        let mut line = format!("| {} |", row.daemons);
        for kind in &kinds {
            let rate = row.calls_per_s.get(*kind).copied().unwrap_or(0.0);
            line.push_str(&format!(" {rate:.2} |"));
        }
        println!("{line}");
    }
}

fn print_resources(rows: &[IdleRow]) {
    println!(
        "\n| daemons | CPU % of a core, mean | CPU %, max | resident MB, max | sent B/s, mean | \
         received B/s, mean | sent and received B/s, max |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for row in rows {
        println!(
            "| {} | {:.2} | {:.2} | {:.1} | {:.0} | {:.0} | {:.0} |",
            row.daemons,
            row.cpu_percent_mean,
            row.cpu_percent_max,
            row.resident_mb_max,
            row.sent_per_s_mean,
            row.received_per_s_mean,
            row.bytes_per_s_max,
        );
    }
}
