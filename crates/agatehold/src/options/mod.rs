//! The command line of the daemon.

use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::Arg;
use lexopt::Parser;

/// The text of `--help`.
pub(crate) const HELP: &str = "\
agatehold: proxy daemon for targets with gray failures

Usage: agatehold --settings FILE [--check]
       agatehold --gateway [--settings FILE] [--check]

Options:
      --settings FILE  settings of the daemon in INI format
      --gateway        run on a platform that stores complete configurations
                       and the list of targets; without --settings, the
                       platform provides the path of the settings
      --check          print every error in the settings and exit
      --help           print this text and exit
      --version        print the version and exit

Exit codes:
  0  stopped gracefully, or the settings are valid
  1  failure
  2  wrong usage
  3  invalid settings
  7  a forced stop cut requests
";

/// The action selected by the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Options {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Check the settings.
    Check(PathBuf),
    /// Run the daemon.
    Run(PathBuf),
    /// Check the settings of a daemon in gateway mode.
    CheckGateway(Option<PathBuf>),
    /// Run the daemon in gateway mode.
    RunGateway(Option<PathBuf>),
}

/// Parses the arguments after the program name.
pub(crate) fn parse(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<Options, lexopt::Error> {
    let mut parser = Parser::from_args(arguments);
    let mut settings = None;
    let mut check = false;
    let mut gateway = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(Options::Help),
            Arg::Long("version") => return Ok(Options::Version),
            Arg::Long("check") => check = true,
            Arg::Long("gateway") => gateway = true,
            Arg::Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected()),
        }
    }
    if gateway {
        return Ok(match check {
            true => Options::CheckGateway(settings),
            false => Options::RunGateway(settings),
        });
    }
    let Some(settings) = settings else {
        return Err("the option --settings FILE is missing".into());
    };
    if check {
        return Ok(Options::Check(settings));
    }
    Ok(Options::Run(settings))
}
