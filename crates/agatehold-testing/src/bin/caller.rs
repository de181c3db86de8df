//! Runs a caller as a process.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;

use lexopt::Arg::Long;
use lexopt::ValueExt;

use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::caller::Load;
use agatehold_testing::common::parse_value;
use agatehold_testing::common::print_lines;
use agatehold_testing::common::run_program;
use agatehold_testing::history;
use agatehold_testing::history::CallOutcome;
use agatehold_testing::history::CallRecord;

const HELP: &str = "\
Usage: caller --daemon IP:PORT [--daemon IP:PORT]... --service NAME --tenant NAME
              [--name NAME] [--method METHOD] [--path PATH] [--query TEXT]
              [--keys none|prefix|own] [--idempotent] [--say-non-idempotent]
              [--body-bytes N] [--body-text TEXT] [--timeout-ms N]
              [--workers N | --rate N] [--count N] [--duration-ms N]
              [--patience-ms N] [--attempts N] [--stale] [--close] [--each]

Sends requests and prints counts and latencies. With --stale, the caller never
requests addresses and only sends to the given daemons. With --close, it opens a
connection for each request. With --each, it prints a line for every attempt.
Exits with 1 if a response body does not belong to its request.";

/// The parsed command line.
struct Arguments {
    options: CallerOptions,
    /// Whether to print a line for every attempt.
    prints_each: bool,
}

fn parse_options() -> Result<Option<Arguments>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut daemons: Vec<SocketAddr> = Vec::new();
    let mut prints_each = false;
    let mut service = None;
    let mut tenant = None;
    let placeholder_ids = (
        "unset".parse().map_err(|error| format!("{error}"))?,
        "unset".parse().map_err(|error| format!("{error}"))?,
    );
    let mut options = CallerOptions::new(Vec::new(), placeholder_ids.0, placeholder_ids.1);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("daemon") => daemons.push(parse_value(&mut parser)?),
            Long("service") => service = Some(parse_value(&mut parser)?),
            Long("tenant") => tenant = Some(parse_value(&mut parser)?),
            Long("name") => options.name = parser.value()?.string()?.into(),
            Long("method") => options.shape.method = parse_value(&mut parser)?,
            Long("path") => options.shape.path = parser.value()?.string()?.into(),
            Long("query") => options.shape.query = parser.value()?.string()?.into(),
            Long("keys") => options.shape.keys = parse_value(&mut parser)?,
            Long("idempotent") => options.shape.is_non_idempotent = false,
            Long("say-non-idempotent") => options.shape.sends_non_idempotent_header = true,
            Long("body-bytes") => options.shape.body_bytes = parse_value(&mut parser)?,
            Long("body-text") => options.shape.body_text = parser.value()?.string()?.into(),
            Long("timeout-ms") => options.shape.timeout_ms = Some(parse_value(&mut parser)?),
            Long("workers") => options.load = Load::Closed(parse_value(&mut parser)?),
            Long("rate") => options.load = Load::Open(parse_value(&mut parser)?),
            Long("count") => options.count = parse_value(&mut parser)?,
            Long("duration-ms") => options.duration_ms = parse_value(&mut parser)?,
            Long("patience-ms") => options.response_timeout_ms = parse_value(&mut parser)?,
            Long("attempts") => options.attempts = parse_value(&mut parser)?,
            Long("stale") => options.fetches_addresses = false,
            Long("close") => options.keeps_connections = false,
            Long("each") => prints_each = true,
            Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    if daemons.is_empty() {
        return Err("--daemon is missing".into());
    }
    options.daemons = daemons;
    options.service = service.ok_or("--service is missing")?;
    options.tenant = tenant.ok_or("--tenant is missing")?;
    Ok(Some(Arguments {
        options,
        prints_each,
    }))
}

/// Formats an attempt as one line of output.
fn describe(record: &CallRecord) -> String {
    let end = match record.refusal {
        Some(kind) => format!("{kind}"),
        None => record.status.unwrap_or(0).to_string(),
    };
    let outcome = match record.outcome {
        CallOutcome::Answered => "answered".to_owned(),
        CallOutcome::Refused(outcome) => outcome.to_string(),
        CallOutcome::NotSent => "not-sent".to_owned(),
        CallOutcome::ConnectFailed => "connect-failed".to_owned(),
        CallOutcome::Lost => "lost".to_owned(),
        CallOutcome::TimedOut => "timed-out".to_owned(),
    };
    format!(
        "request {} daemon={} target={} end={end} outcome={outcome} total_us={} added_us={}",
        record.number,
        record.address,
        record.target.as_deref().unwrap_or("-"),
        record.total_us,
        record
            .added_us
            .map_or_else(|| "-".to_owned(), |added| added.to_string()),
    )
}

fn run(arguments: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    let records = caller::start(arguments.options)?.join();
    let mut lines = Vec::new();
    if arguments.prints_each {
        lines.extend(records.iter().map(describe));
    }
    let summary = caller::summarise(&records).to_string();
    lines.extend(summary.lines().map(str::to_owned));
    let violations = history::check_response_bodies(&records);
    for violation in &violations {
        lines.push(format!("violation: {violation}"));
    }
    print_lines(&lines)?;
    if violations.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::FAILURE)
}

fn main() -> ExitCode {
    run_program("caller", HELP, parse_options(), run)
}
