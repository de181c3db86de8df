//! Measures fleets of daemon processes on one machine.

mod configuration;
mod idle;
mod recovery;
mod sample;
mod spread;

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Arg::Long;
use lexopt::Arg::Value;

use agatehold_core::units::DurationMs;
use agatehold_testing::common::parse_value;
use agatehold_testing::common::run_program;

const HELP: &str = "\
Usage: measure-fleet-processes --daemon PROGRAM [--idle-ms N] [TABLE]...

Starts fleets of the daemon PROGRAM with stand-ins for platform and targets
and prints Markdown tables. TABLE is idle, spread, recovery or configuration;
without one, all four are printed in this order. Idle fleets are measured for
N milliseconds (default 30000).";

/// A table to print.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TableKind {
    Idle,
    Spread,
    Recovery,
    Configuration,
}

impl TableKind {
    const NAMES: [(Self, &'static str); 4] = [
        (Self::Idle, "idle"),
        (Self::Spread, "spread"),
        (Self::Recovery, "recovery"),
        (Self::Configuration, "configuration"),
    ];

    fn parse(text: &str) -> Option<Self> {
        let found = Self::NAMES.iter().find(|(_, name)| *name == text);
        found.map(|(kind, _)| *kind)
    }
}

struct Arguments {
    daemon: PathBuf,
    idle_ms: DurationMs,
    tables: Vec<TableKind>,
}

fn parse_arguments() -> Result<Option<Arguments>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut daemon = None;
    let mut idle_ms = DurationMs(30_000);
    let mut tables = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("daemon") => daemon = Some(PathBuf::from(parser.value()?)),
            Long("idle-ms") => idle_ms = parse_value(&mut parser)?,
            Long("help") => return Ok(None),
            Value(name) => {
                let kind = name.to_str().and_then(TableKind::parse);
                tables.push(kind.ok_or("expected idle, spread, recovery or configuration")?);
            }
            _ => return Err(arg.unexpected()),
        }
    }
    if tables.is_empty() {
        tables.extend(TableKind::NAMES.map(|(kind, _)| kind));
    }
    Ok(Some(Arguments {
        daemon: daemon.ok_or("--daemon is missing")?,
        idle_ms,
        tables,
    }))
}

fn run(arguments: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    for kind in &arguments.tables {
        println!("load average before: {}\n", sample::load_average());
        match kind {
            TableKind::Idle => idle::run(&arguments.daemon, arguments.idle_ms)?,
            TableKind::Spread => spread::run(&arguments.daemon)?,
            TableKind::Recovery => recovery::run(&arguments.daemon)?,
            TableKind::Configuration => configuration::run(&arguments.daemon)?,
        }
        println!("\nload average after: {}\n", sample::load_average());
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    run_program("measure-fleet-processes", HELP, parse_arguments(), run)
}
