//! Command line options, output and exit codes of the binaries of this crate.

use std::error::Error;
use std::fmt::Display;
use std::io;
use std::io::Write;
use std::process::ExitCode;
use std::str::FromStr;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Parses the value of an option as `T`.
pub fn parse_value<T>(parser: &mut lexopt::Parser) -> Result<T, lexopt::Error>
where
    T: FromStr,
    T::Err: Display,
{
    let text = parser.value()?.into_string()?;
    text.parse()
        .map_err(|error: T::Err| lexopt::Error::Custom(format!("{text}: {error}").into()))
}

/// Prints `lines` and flushes the output, so that a parent process can read
/// the bound addresses from a pipe at once.
pub fn print_lines(lines: &[String]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for line in lines {
        writeln!(out, "{line}")?;
    }
    out.flush()
}

/// Waits for SIGTERM or SIGINT.
pub fn wait_for_signal() -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    Ok(())
}

/// Runs the binary `name`. Prints `help` if `options` is `None`, and returns
/// exit code 2 for invalid options and 1 for a failed run.
pub fn run_program<O>(
    name: &str,
    help: &str,
    options: Result<Option<O>, lexopt::Error>,
    run: impl FnOnce(O) -> Result<ExitCode, Box<dyn Error>>,
) -> ExitCode {
    let options = match options {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{help}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{name}: {error}\n{help}");
            return ExitCode::from(2);
        }
    };
    run(options).unwrap_or_else(|error| {
        eprintln!("{name}: {error}");
        ExitCode::FAILURE
    })
}
