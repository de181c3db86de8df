//! Runs target stand-ins as a process.

use std::error::Error;
use std::process::ExitCode;

use lexopt::Arg::Long;

use agatehold_testing::common::parse_value;
use agatehold_testing::common::print_lines;
use agatehold_testing::common::run_program;
use agatehold_testing::common::wait_for_signal;
use agatehold_testing::target_standin;
use agatehold_testing::target_standin::TargetOptions;

const HELP: &str = "\
Usage: target-standin [--count N] [--listen IP:PORT] [--control IP:PORT]
                      [--slots N] [--warm-up-ms N] [--seed N]

Prints the bound addresses, one per line: `control IP:PORT`, `target N IP:PORT`.";

fn parse_options() -> Result<Option<TargetOptions>, lexopt::Error> {
    let mut options = TargetOptions::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("count") => options.count = parse_value(&mut parser)?,
            Long("listen") => options.listen = parse_value(&mut parser)?,
            Long("control") => options.control = parse_value(&mut parser)?,
            Long("slots") => options.slots = parse_value(&mut parser)?,
            Long("warm-up-ms") => options.warm_up_ms = parse_value(&mut parser)?,
            Long("seed") => options.seed = parse_value(&mut parser)?,
            Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(options))
}

fn run(options: TargetOptions) -> Result<ExitCode, Box<dyn Error>> {
    let running = target_standin::start(options)?;
    let mut lines = vec![format!("control {}", running.control)];
    for (index, address) in running.targets.iter().enumerate() {
        lines.push(format!("target {index} {address}"));
    }
    print_lines(&lines)?;
    wait_for_signal()?;
    running.close();
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    run_program("target-standin", HELP, parse_options(), run)
}
