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

/// The settings file where the command line names none.
const DEFAULT_SETTINGS: &str = "/etc/agatehold/agateholdctl.ini";

/// How long a release waits for the daemons where the command line does not
/// say: the 9 s in which a note is in force, and a margin for one poll.
const DEFAULT_WAIT_MS: DurationMs = DurationMs(15_000);

/// The notes that the history shows where the command line does not say.
const DEFAULT_HISTORY: u64 = 20;

/// The text of `--version`.
pub(crate) const VERSION: &str = concat!("agateholdctl ", env!("CARGO_PKG_VERSION"));

/// The text of `--help`.
pub(crate) const HELP: &str = "\
Releases notes to an agatehold fleet and shows its state.

Usage: agateholdctl [OPTIONS] COMMAND

Commands:
  note check FILE [--against FILE]...
                        check a note against the platform's configuration, or
                        without the platform against the notes given
  note release FILE [--force] [--wait MS]
                        release a note and wait until every daemon has it in
                        force (default 15000; 0 does not wait)
  note status ID        show whether a note is released; ID is NUMBER-ID, ID
                        or NUMBER
  note history [--limit N]
                        show the newest notes (default 20)
  note diff A B         show the changes from one configuration to another;
                        each is the number of a note or a FILE
  hosts                 show the hosts
  targets               show the targets
  ejections             show the ejections and the capacity of services
  explain ID FILE...    show from saved logs of daemons what became of the
                        request with this identifier, and why
  drain HOST            stop a daemon as planned; HOST is an id or an admin
                        address

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
";

/// Which note `note status` asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoteQuery {
    /// A note that was to get this number.
    Numbered(NoteNumber, NoteId),
    /// A note with any number.
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

/// A configuration to compare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Point {
    /// The configuration after a note.
    Number(NoteNumber),
    /// The configuration that a file of additions gives.
    File(PathBuf),
}

/// A daemon to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DaemonName {
    /// By admin address.
    Address(SocketAddr),
    /// By host id.
    Host(HostId),
}

impl FromStr for DaemonName {
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

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Check the settings.
    CheckSettings,
    /// Check a note.
    NoteCheck {
        file: PathBuf,
        against: Vec<PathBuf>,
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
    NoteDiff(Point, Point),
    /// Show the hosts.
    Hosts,
    /// Show the targets.
    Targets,
    /// Show the ejections.
    Ejections,
    /// Show what became of a request.
    Explain {
        /// The request's identifier.
        id: Box<str>,
        /// Saved logs of daemons.
        files: Vec<PathBuf>,
    },
    /// Stop a daemon.
    Drain(DaemonName),
}

/// A command with the options that all commands share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Invocation {
    /// The settings file.
    pub(crate) settings: PathBuf,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// The daemon to ask.
    pub(crate) at: Option<SocketAddr>,
    /// What to do.
    pub(crate) command: Command,
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Parsed {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Run a command.
    Run(Invocation),
}

/// The words and options of a command line, before they are put together.
#[derive(Default)]
struct Words {
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

/// Parses the arguments after the program's name.
pub(crate) fn parse(arguments: impl Iterator<Item = OsString>) -> Result<Parsed, ToolFault> {
    let arguments: Vec<OsString> = arguments.collect();
    let mut parser = Parser::from_args(arguments);
    let mut words = Words::default();
    while let Some(argument) = parser.next().map_err(usage)? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Parsed::Version),
            Arg::Long("json") => words.json = true,
            Arg::Long("check") => words.check = true,
            Arg::Long("force") => words.force = true,
            Arg::Long("settings") => words.settings = Some(value(&mut parser)?.into()),
            Arg::Long("against") => words.against.push(value(&mut parser)?.into()),
            Arg::Long("at") => words.at = Some(parsed("--at", &value(&mut parser)?)?),
            Arg::Long("wait") => words.wait_ms = Some(parsed("--wait", &value(&mut parser)?)?),
            Arg::Long("limit") => words.limit = Some(parsed("--limit", &value(&mut parser)?)?),
            Arg::Value(value) => words.values.push(value),
            Arg::Short(_) | Arg::Long(_) => return Err(usage(argument.unexpected())),
        }
    }
    put_together(words).map(Parsed::Run)
}

fn usage(error: lexopt::Error) -> ToolFault {
    ToolFault::Usage(error.to_string())
}

fn value(parser: &mut Parser) -> Result<OsString, ToolFault> {
    parser.value().map_err(usage)
}

fn parsed<T: FromStr<Err: std::fmt::Display>>(name: &str, text: &OsString) -> Result<T, ToolFault> {
    let text = text.to_string_lossy();
    text.parse()
        .map_err(|error| ToolFault::Usage(format!("{name} {text}: {error}")))
}

fn put_together(words: Words) -> Result<Invocation, ToolFault> {
    let texts: Vec<String> = words
        .values
        .iter()
        .map(|value| value.to_string_lossy().into_owned())
        .collect();
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    let path = |index: usize| PathBuf::from(&words.values[index]);
    let command = match texts[..] {
        [] if words.check => Command::CheckSettings,
        ["note", "check", _] => Command::NoteCheck {
            file: path(2),
            against: words.against.clone(),
        },
        ["note", "release", _] => Command::NoteRelease {
            file: path(2),
            force: words.force,
            wait_ms: words.wait_ms.unwrap_or(DEFAULT_WAIT_MS),
        },
        ["note", "status", id] => Command::NoteStatus(parsed("ID", &id.into())?),
        ["note", "history"] => Command::NoteHistory(words.limit.unwrap_or(DEFAULT_HISTORY)),
        ["note", "diff", a, b] => Command::NoteDiff(point(a, path(2)), point(b, path(3))),
        ["hosts"] => Command::Hosts,
        ["targets"] => Command::Targets,
        ["ejections"] => Command::Ejections,
        ["explain", id, _, ..] => Command::Explain {
            id: id.into(),
            files: (2..texts.len()).map(path).collect(),
        },
        ["drain", host] => Command::Drain(parsed("HOST", &host.into())?),
        [] => return Err(ToolFault::Usage("expected a command".to_owned())),
        _ => {
            let given = texts.join(" ");
            return Err(ToolFault::Usage(format!(
                "unknown command or wrong arguments: {given}"
            )));
        }
    };
    refuse_misplaced(&words, &command)?;
    Ok(Invocation {
        settings: words.settings.unwrap_or(DEFAULT_SETTINGS.into()),
        json: words.json,
        at: words.at,
        command,
    })
}

fn point(text: &str, path: PathBuf) -> Point {
    match text.parse() {
        Ok(number) => Point::Number(number),
        Err(_) => Point::File(path),
    }
}

/// Refuses options that the command does not know; one that is ignored, such
/// as `--force`, would leave its author to believe that it took effect.
fn refuse_misplaced(words: &Words, command: &Command) -> Result<(), ToolFault> {
    let release = matches!(command, Command::NoteRelease { .. });
    let against = matches!(command, Command::NoteCheck { .. });
    let limit = matches!(command, Command::NoteHistory(_));
    let asks = matches!(
        command,
        Command::Hosts | Command::Targets | Command::Ejections
    );
    let check = matches!(command, Command::CheckSettings);
    let misplaced = [
        ("--force", words.force && !release),
        ("--wait", words.wait_ms.is_some() && !release),
        ("--against", !words.against.is_empty() && !against),
        ("--limit", words.limit.is_some() && !limit),
        ("--at", words.at.is_some() && !asks),
        ("--check", words.check && !check),
    ];
    for (option, wrong) in misplaced {
        if wrong {
            let detail = format!("{option} does not belong to this command");
            return Err(ToolFault::Usage(detail));
        }
    }
    Ok(())
}
