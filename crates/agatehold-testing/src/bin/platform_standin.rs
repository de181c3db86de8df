//! Runs the platform stand-in as a process.

use std::error::Error;
use std::process::ExitCode;

use lexopt::Arg::Long;

use agatehold_testing::common::parse_value;
use agatehold_testing::common::print_lines;
use agatehold_testing::common::run_program;
use agatehold_testing::common::wait_for_signal;
use agatehold_testing::platform_standin;
use agatehold_testing::platform_standin::PlatformOptions;

const HELP: &str = "\
Usage: platform-standin [--listen IP:PORT] [--control IP:PORT] [--host-lag-ms N]

Prints the bound addresses, one per line: `platform IP:PORT`, `control IP:PORT`.";

fn parse_options() -> Result<Option<PlatformOptions>, lexopt::Error> {
    let mut options = PlatformOptions::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("listen") => options.listen = parse_value(&mut parser)?,
            Long("control") => options.control = parse_value(&mut parser)?,
            Long("host-lag-ms") => options.host_lag_ms = parse_value(&mut parser)?,
            Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(options))
}

fn run(options: PlatformOptions) -> Result<ExitCode, Box<dyn Error>> {
    let running = platform_standin::start(options)?;
    print_lines(&[
        format!("platform {}", running.platform),
        format!("control {}", running.control),
    ])?;
    wait_for_signal()?;
    running.close();
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    run_program("platform-standin", HELP, parse_options(), run)
}
