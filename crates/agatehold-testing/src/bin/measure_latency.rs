//! Compares the latency of requests through one daemon with that of the same
//! requests sent directly to the targets.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Arg::Long;

use agatehold_core::units::RequestsPerSecond;
use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::caller::KeyMode;
use agatehold_testing::caller::Load;
use agatehold_testing::common::parse_value;
use agatehold_testing::common::run_program;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;

const HELP: &str = "\
Usage: measure-latency --daemon PROGRAM [--rate N] [--rounds N] [--count N]

Starts the daemon PROGRAM with six targets, sends requests in rounds that
alternate between directly and through the daemon, and prints a Markdown table
of the latencies.";

/// The number of requests at the start of each round that open connections and
/// are not counted.
const WARM_UP_REQUESTS: usize = 50;

struct Arguments {
    daemon: PathBuf,
    rate: RequestsPerSecond,
    rounds: u32,
    count: u64,
}

/// The latencies of the counted requests, in microseconds.
#[derive(Default)]
struct Samples {
    direct_us: Vec<u64>,
    through_us: Vec<u64>,
    added_us: Vec<u64>,
}

fn parse_arguments() -> Result<Option<Arguments>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut daemon = None;
    let mut rate = RequestsPerSecond::new(140.0).unwrap_or_default();
    let mut rounds = 5;
    let mut count = 2_000;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("daemon") => daemon = Some(PathBuf::from(parser.value()?)),
            Long("rate") => rate = parse_value(&mut parser)?,
            Long("rounds") => rounds = parse_value(&mut parser)?,
            Long("count") => count = parse_value(&mut parser)?,
            Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(Arguments {
        daemon: daemon.ok_or("--daemon is missing")?,
        rate,
        rounds,
        count,
    }))
}

/// Sends the requests of a round. Returns the total latencies of the counted
/// requests, and the latencies that the daemon reports to have added.
fn run_round(
    arguments: &Arguments,
    addresses: Vec<SocketAddr>,
) -> Result<(Vec<u64>, Vec<u64>), Box<dyn Error>> {
    let service = "certificates".parse().map_err(|error| format!("{error}"))?;
    let tenant = "exporter".parse().map_err(|error| format!("{error}"))?;
    let mut options = CallerOptions::new(addresses, service, tenant);
    options.shape.method = http::Method::GET;
    options.shape.keys = KeyMode::None;
    options.shape.is_non_idempotent = false;
    options.fetches_addresses = false;
    options.load = Load::Open(arguments.rate);
    options.count = arguments.count;
    options.attempts = 1;
    let records = caller::start(options)?.join();
    let mut total_us = Vec::new();
    let mut added_us = Vec::new();
    for record in records.iter().skip(WARM_UP_REQUESTS) {
        if !record.is_success() {
            return Err(format!("a request failed: {:?}", record.outcome).into());
        }
        total_us.push(record.total_us);
        added_us.extend(record.added_us);
    }
    Ok((total_us, added_us))
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

fn print_table(samples: &mut Samples) {
    println!("| path | requests | p50 us | p90 us | p99 us |");
    println!("| --- | --- | --- | --- | --- |");
    for (name, values) in [
        ("direct", &mut samples.direct_us),
        ("through one daemon", &mut samples.through_us),
        ("added, by the daemon's own clock", &mut samples.added_us),
    ] {
        values.sort_unstable();
        println!(
            "| {name} | {} | {} | {} | {} |",
            values.len(),
            percentile(values, 50),
            percentile(values, 90),
            percentile(values, 99)
        );
    }
    for percent in [50, 99] {
        let direct = percentile(&samples.direct_us, percent);
        let through = percentile(&samples.through_us, percent);
        println!(
            "\np{percent}: added {} us, ratio {:.2}",
            through.saturating_sub(direct),
            through as f64 / direct.max(1) as f64
        );
    }
}

fn run(arguments: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    let options = FleetOptions {
        daemons: 1,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(&arguments.daemon, options)?;
    let mut samples = Samples::default();
    for _ in 0..arguments.rounds {
        let (direct, _) = run_round(&arguments, fleet.targets.targets.clone())?;
        samples.direct_us.extend(direct);
        let (through, added) = run_round(&arguments, fleet.caller_addresses())?;
        samples.through_us.extend(through);
        samples.added_us.extend(added);
    }
    print_table(&mut samples);
    fleet.close()?;
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    run_program("measure-latency", HELP, parse_arguments(), run)
}
