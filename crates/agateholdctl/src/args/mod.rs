//! The command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use lexopt::Arg;
use lexopt::Parser;

use agatehold_core::ids::HostId;
use agatehold_core::ids::NoteId;
use agatehold_core::ids::NoteNumber;
use agatehold_core::units::DurationMs;

use crate::fault::ToolFault;

/// The settings file used without `--settings`.
const DEFAULT_SETTINGS_PATH: &str = "/etc/agatehold/agateholdctl.ini";

/// How long a release waits for the daemons without `--wait`: a note is in force
/// within 9 s, and the rest is margin for polling the daemons.
const DEFAULT_WAIT_MS: DurationMs = DurationMs(15_000);

/// The number of notes that `note history` shows without `--limit`.
const DEFAULT_HISTORY_NOTES: u64 = 20;

/// The text of `--version`.
pub(crate) const VERSION: &str = concat!("agateholdctl ", env!("CARGO_PKG_VERSION"));

/// The text of `--help`.
pub(crate) const HELP: &str = "\
Releases notes to an agatehold fleet and shows its state.

Usage: agateholdctl [OPTIONS] COMMAND

Commands:
  note check FILE [--against FILE]...
                        check a note against the platform's configuration or,
                        with --against, against the given notes only
  check-config FILE [--against FILE]
                        check a configuration of the gateway before it is sent
                        and, with --against, show what differs from that one
  note release FILE [--force] [--wait MS]
                        release a note and wait up to MS milliseconds until
                        every daemon has it in force (default 15000; 0 does
                        not wait)
  note status ID        show whether a note is released; ID is NUMBER-ID, ID
                        or NUMBER
  note history [--limit N]
                        show the newest notes (default 20)
  note diff A B         show the changes from one configuration to another;
                        each is the number of a note or a FILE
  hosts                 show the hosts
  targets               show the targets
  ejections             show the ejections and the capacity of services
  explain ID FILE...    show from saved logs of daemons how the request with
                        this identifier ended, and why
  drain HOST            start a planned stop of a daemon; HOST is an id or an
                        admin address

Options:
  --settings FILE       settings (default /etc/agatehold/agateholdctl.ini)
  --check               check the settings and print all errors
  --at IP:PORT          ask the daemon with this admin address
  --json                print JSON
  --help                print this text
  --version             print the version

Exit codes:
  0 done   1 failed   2 wrong usage   3 invalid settings or note
  4 conflict with another note   5 outcome unknown   6 timed out
  check-config: 0 clean   1 findings   2 a file can't be read
";

/// The note that `note status` looks up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoteQuery {
    /// The note with this id, if it was released under this number.
    Numbered(NoteNumber, NoteId),
    /// The note with this id, under any number.
    Id(NoteId),
    /// The note with this number.
    Number(NoteNumber),
}

impl FromStr for NoteQuery {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "expected NUMBER-ID, ID or NUMBER";
        if let Some((number, id)) = text.split_once('-') {
            let number = number.parse().map_err(|_| expected)?;
            let id = id.parse().map_err(|_| expected)?;
            return Ok(Self::Numbered(number, id));
        }
        if let Ok(id) = text.parse() {
            return Ok(Self::Id(id));
        }
        text.parse().map(Self::Number).map_err(|_| expected)
    }
}

/// The source of a configuration to compare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ConfigSource {
    /// The configuration after the note with this number.
    Number(NoteNumber),
    /// The configuration that results from applying a note file to an empty
    /// configuration.
    File(PathBuf),
}

/// Selects a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DaemonSelector {
    /// The daemon with this admin address.
    Address(SocketAddr),
    /// The daemon on the host with this id.
    Host(HostId),
}

impl FromStr for DaemonSelector {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Ok(address) = text.parse() {
            return Ok(Self::Address(address));
        }
        text.parse()
            .map(Self::Host)
            .map_err(|_| "expected a host id or IP:port")
    }
}

/// A command of the tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Check the settings.
    CheckSettings,
    /// Check a note.
    NoteCheck {
        file: PathBuf,
        against: Vec<PathBuf>,
    },
    /// Check a configuration of the gateway.
    CheckConfig {
        file: PathBuf,
        against: Option<PathBuf>,
    },
    /// Release a note.
    NoteRelease {
        file: PathBuf,
        force: bool,
        wait_ms: DurationMs,
    },
    /// Show whether a note is released.
    NoteStatus(NoteQuery),
    /// Show the newest notes.
    NoteHistory(u64),
    /// Compare two configurations.
    NoteDiff(ConfigSource, ConfigSource),
    /// Show the hosts.
    Hosts,
    /// Show the targets.
    Targets,
    /// Show the ejections.
    Ejections,
    /// Show how a request ended.
    Explain {
        /// The request's identifier.
        id: Box<str>,
        /// Saved logs of daemons.
        files: Vec<PathBuf>,
    },
    /// Start a planned stop of a daemon.
    Drain(DaemonSelector),
}

/// A command with the options that all commands share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Invocation {
    /// The settings file.
    pub(crate) settings: PathBuf,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// The admin address of the daemon to query.
    pub(crate) at: Option<SocketAddr>,
    /// The command to run.
    pub(crate) command: Command,
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ParsedCommandLine {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Run a command.
    Run(Invocation),
}

/// The options and positional arguments of a command line, before they are
/// combined into a command.
#[derive(Default)]
struct RawArguments {
    settings: Option<PathBuf>,
    json: bool,
    check: bool,
    at: Option<SocketAddr>,
    against: Vec<PathBuf>,
    force: bool,
    wait_ms: Option<DurationMs>,
    limit: Option<u64>,
    values: Vec<OsString>,
}

/// Parses the arguments after the program name.
pub(crate) fn parse(
    arguments: impl Iterator<Item = OsString>,
) -> Result<ParsedCommandLine, ToolFault> {
    let arguments: Vec<OsString> = arguments.collect();
    let mut parser = Parser::from_args(arguments);
    let mut raw = RawArguments::default();
    while let Some(argument) = parser.next().map_err(usage_error)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(ParsedCommandLine::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(ParsedCommandLine::Version),
            Arg::Long("json") => raw.json = true,
            Arg::Long("check") => raw.check = true,
            Arg::Long("force") => raw.force = true,
            Arg::Long("settings") => raw.settings = Some(option_value(&mut parser)?.into()),
            Arg::Long("against") => raw.against.push(option_value(&mut parser)?.into()),
            Arg::Long("at") => raw.at = Some(parse_value("--at", &option_value(&mut parser)?)?),
            Arg::Long("wait") => {
                raw.wait_ms = Some(parse_value("--wait", &option_value(&mut parser)?)?)
            }
            Arg::Long("limit") => {
                raw.limit = Some(parse_value("--limit", &option_value(&mut parser)?)?)
            }
            Arg::Value(value) => raw.values.push(value),
            Arg::Short(_) | Arg::Long(_) => return Err(usage_error(argument.unexpected())),
        }
    }
    build_invocation(raw).map(ParsedCommandLine::Run)
}

fn usage_error(error: lexopt::Error) -> ToolFault {
    ToolFault::Usage(error.to_string())
}

fn option_value(parser: &mut Parser) -> Result<OsString, ToolFault> {
    parser.value().map_err(usage_error)
}

fn parse_value<T: FromStr<Err: std::fmt::Display>>(
    name: &str,
    text: &OsString,
) -> Result<T, ToolFault> {
    let text = text.to_string_lossy();
    text.parse()
        .map_err(|error| ToolFault::Usage(format!("{name} {text}: {error}")))
}

fn build_invocation(raw: RawArguments) -> Result<Invocation, ToolFault> {
    let texts: Vec<String> = raw
        .values
        .iter()
        .map(|value| value.to_string_lossy().into_owned())
        .collect();
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    let path = |index: usize| PathBuf::from(&raw.values[index]);
    let command = match texts[..] {
        [] if raw.check => Command::CheckSettings,
        ["note", "check", _] => Command::NoteCheck {
            file: path(2),
            against: raw.against.clone(),
        },
        ["check-config", _] if raw.against.len() <= 1 => Command::CheckConfig {
            file: path(1),
            against: raw.against.first().cloned(),
        },
        ["note", "release", _] => Command::NoteRelease {
            file: path(2),
            force: raw.force,
            wait_ms: raw.wait_ms.unwrap_or(DEFAULT_WAIT_MS),
        },
        ["note", "status", id] => Command::NoteStatus(parse_value("ID", &id.into())?),
        ["note", "history"] => Command::NoteHistory(raw.limit.unwrap_or(DEFAULT_HISTORY_NOTES)),
        ["note", "diff", a, b] => {
            Command::NoteDiff(config_source(a, path(2)), config_source(b, path(3)))
        }
        ["hosts"] => Command::Hosts,
        ["targets"] => Command::Targets,
        ["ejections"] => Command::Ejections,
        ["explain", id, _, ..] => Command::Explain {
            id: id.into(),
            files: (2..texts.len()).map(path).collect(),
        },
        ["drain", host] => Command::Drain(parse_value("HOST", &host.into())?),
        [] => return Err(ToolFault::Usage("expected a command".to_owned())),
        _ => {
            let given = texts.join(" ");
            return Err(ToolFault::Usage(format!(
                "unknown command or wrong arguments: {given}"
            )));
        }
    };
    reject_misplaced_options(&raw, &command)?;
    Ok(Invocation {
        settings: raw.settings.unwrap_or(DEFAULT_SETTINGS_PATH.into()),
        json: raw.json,
        at: raw.at,
        command,
    })
}

fn config_source(text: &str, path: PathBuf) -> ConfigSource {
    match text.parse() {
        Ok(number) => ConfigSource::Number(number),
        Err(_) => ConfigSource::File(path),
    }
}

/// Rejects options that the command does not accept. If an option such as
/// `--force` were ignored, the user would assume that it took effect.
fn reject_misplaced_options(raw: &RawArguments, command: &Command) -> Result<(), ToolFault> {
    let release = matches!(command, Command::NoteRelease { .. });
    let against = matches!(
        command,
        Command::NoteCheck { .. } | Command::CheckConfig { .. }
    );
    let limit = matches!(command, Command::NoteHistory(_));
    let queries_daemon = matches!(
        command,
        Command::Hosts | Command::Targets | Command::Ejections
    );
    let check = matches!(command, Command::CheckSettings);
    let misplaced_options = [
        ("--force", raw.force && !release),
        ("--wait", raw.wait_ms.is_some() && !release),
        ("--against", !raw.against.is_empty() && !against),
        ("--limit", raw.limit.is_some() && !limit),
        ("--at", raw.at.is_some() && !queries_daemon),
        ("--check", raw.check && !check),
    ];
    for (option, wrong) in misplaced_options {
        if wrong {
            let detail = format!("{option} does not belong to this command");
            return Err(ToolFault::Usage(detail));
        }
    }
    Ok(())
}
