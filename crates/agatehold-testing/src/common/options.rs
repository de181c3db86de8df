//! What the binaries of the test doubles share.

use std::fmt::Display;
use std::io;
use std::io::Write;
use std::str::FromStr;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Reads the value of an option as `T`.
pub fn parse_value<T>(parser: &mut lexopt::Parser) -> Result<T, lexopt::Error>
where
    T: FromStr,
    T::Err: Display,
{
    let text = parser.value()?.into_string()?;
    text.parse()
        .map_err(|error: T::Err| lexopt::Error::Custom(format!("{text}: {error}").into()))
}

/// Prints `lines` and flushes, so that a parent can read the bound addresses.
pub fn print_lines(lines: &[String]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for line in lines {
        writeln!(out, "{line}")?;
    }
    out.flush()
}

/// Waits until the process is asked to end.
pub fn wait_for_signal() -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    Ok(())
}
