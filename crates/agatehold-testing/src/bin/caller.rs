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
use agatehold_testing::history;

const HELP: &str = "\
Usage: caller --daemon IP:PORT [--daemon IP:PORT]... --service NAME --tenant NAME
              [--name NAME] [--method METHOD] [--path PATH] [--query TEXT]
              [--keys none|prefix|own] [--idempotent] [--say-non-idempotent]
              [--body-bytes N] [--body-text TEXT] [--timeout-ms N]
              [--workers N | --rate N] [--count N] [--duration-ms N]
              [--patience-ms N] [--attempts N] [--stale] [--close]

Sends requests and prints counts and latencies. --stale never asks for
addresses, --close uses a connection for each request. Exits with 1 if an
answer belongs to another request.";

fn parse_options() -> Result<Option<CallerOptions>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut daemons: Vec<SocketAddr> = Vec::new();
    let mut service = None;
    let mut tenant = None;
    let nowhere = (
        "unset".parse().map_err(|error| format!("{error}"))?,
        "unset".parse().map_err(|error| format!("{error}"))?,
    );
    let mut options = CallerOptions::new(Vec::new(), nowhere.0, nowhere.1);
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
            Long("say-non-idempotent") => options.shape.says_non_idempotent = true,
            Long("body-bytes") => options.shape.body_bytes = parse_value(&mut parser)?,
            Long("body-text") => options.shape.body_text = parser.value()?.string()?.into(),
            Long("timeout-ms") => options.shape.timeout_ms = Some(parse_value(&mut parser)?),
            Long("workers") => options.load = Load::Closed(parse_value(&mut parser)?),
            Long("rate") => options.load = Load::Open(parse_value(&mut parser)?),
            Long("count") => options.count = parse_value(&mut parser)?,
            Long("duration-ms") => options.duration_ms = parse_value(&mut parser)?,
            Long("patience-ms") => options.patience_ms = parse_value(&mut parser)?,
            Long("attempts") => options.attempts = parse_value(&mut parser)?,
            Long("stale") => options.asks_addresses = false,
            Long("close") => options.keeps_connections = false,
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
    Ok(Some(options))
}

fn run(options: CallerOptions) -> Result<ExitCode, Box<dyn Error>> {
    let records = caller::start(options)?.join();
    let mut lines: Vec<String> = caller::summarise(&records)
        .to_string()
        .lines()
        .map(str::to_owned)
        .collect();
    let violations = history::check_own_answer(&records);
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
    let options = match parse_options() {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("caller: {error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match run(options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("caller: {error}");
            ExitCode::FAILURE
        }
    }
}
