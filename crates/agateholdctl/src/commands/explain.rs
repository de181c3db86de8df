//! The `explain` command, which shows from saved logs of daemons how a request
//! ended and why.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;
use std::str::Chars;

use serde_json::json;
use time::Duration;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use agatehold_core::refusal::RefusalKind;

use crate::fault::ToolFault;
use crate::output;

use super::read_file;

/// How long before the last line of a request the state changes of its daemon are
/// included.
const CONTEXT_DURATION: Duration = Duration::seconds(10);

/// The events that show a daemon's view of the store, its configuration and its
/// own state.
const DAEMON_EVENTS: [&str; 9] = [
    "start",
    "stop_begins",
    "reload",
    "store_lost",
    "store_back",
    "history_gone",
    "lease_ended",
    "configuration",
    "configuration_skipped",
];

/// The events that show a daemon's view of a target.
const TARGET_EVENTS: [&str; 6] = [
    "target",
    "target_avoided",
    "target_gone",
    "target_skipped",
    "address_moved",
    "pause_ignored",
];

/// The events that show why targets of a service take no requests, which matter also to
/// a request that none of them got.
const SERVICE_EVENTS: [&str; 2] = ["target_leaving", "target_paused"];

/// How long before the last line of a request the [`SERVICE_EVENTS`] are included; a pause
/// may have begun long before.
const SERVICE_CONTEXT_DURATION: Duration = Duration::seconds(60);

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
struct LogLine {
    /// The index of its file on the command line.
    file: usize,
    at: OffsetDateTime,
    fields: Vec<(Box<str>, Box<str>)>,
    text: Box<str>,
}

impl LogLine {
    fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| **key == *name);
        found.map(|(_, value)| &**value)
    }

    fn is_event(&self, events: &[&str]) -> bool {
        self.field("event")
            .is_some_and(|event| events.contains(&event))
    }
}

/// Prints the log lines about a request and a summary.
pub(super) fn run(id: &str, files: &[PathBuf], json: bool) -> Result<u8, ToolFault> {
    let mut lines = Vec::new();
    for (number, path) in files.iter().enumerate() {
        read_lines(path, number, &mut lines)?;
    }
    lines.sort_by_key(|line| line.at);
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.field("id") == Some(id))
        .collect();
    let Some(last) = request_lines.last() else {
        return Err(ToolFault::NoSuchRequest(id.to_owned()));
    };
    let relevant_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| is_relevant(line, &request_lines, last))
        .collect();
    let verdict = verdict(last, &relevant_lines);
    if json {
        let line_texts: Vec<&str> = relevant_lines.iter().map(|line| &*line.text).collect();
        output::json(&json!({ "id": id, "lines": line_texts, "verdict": verdict }))?;
        return Ok(0);
    }
    for line in relevant_lines {
        let mark = if line.field("id") == Some(id) {
            "*"
        } else {
            " "
        };
        let file = files[line.file].display();
        output::line(&format!("{mark} {file}: {}", line.text))?;
    }
    for sentence in verdict {
        output::line(&sentence)?;
    }
    Ok(0)
}

fn read_lines(path: &Path, file: usize, lines: &mut Vec<LogLine>) -> Result<(), ToolFault> {
    for text in read_file(path)?.lines() {
        if let Some(line) = parse_line(text, file) {
            lines.push(line);
        }
    }
    Ok(())
}

/// Parses a line of the form `TIME [LEVEL] key=value ...`; `None` for any other
/// line.
fn parse_line(text: &str, file: usize) -> Option<LogLine> {
    let (at, rest) = text.split_once(' ')?;
    let at = OffsetDateTime::parse(at, &Rfc3339).ok()?;
    let (_, mut rest) = rest.split_once("] ")?;
    let mut fields = Vec::new();
    while let Some((key, value)) = rest.split_once('=') {
        let (value, next) = match value.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let (value, next) = value.split_once(' ').unwrap_or((value, ""));
                (value.into(), next)
            }
        };
        fields.push((key.trim().into(), value));
        rest = next;
    }
    Some(LogLine {
        file,
        at,
        fields,
        text: text.into(),
    })
}

/// Reads a quoted value with its escapes, from behind the first quote; returns it and what
/// follows the last quote.
fn unquote(quoted: &str) -> (Box<str>, &str) {
    let mut value = String::new();
    let mut rest = quoted.chars();
    while let Some(char) = rest.next() {
        match char {
            '"' => return (value.into(), rest.as_str()),
            '\\' => match rest.next() {
                Some('t') => value.push('\t'),
                Some('r') => value.push('\r'),
                Some('n') => value.push('\n'),
                Some('u') => value.extend(unescape_code(&mut rest)),
                Some(escaped) => value.push(escaped),
                None => {}
            },
            _ => value.push(char),
        }
    }
    (value.into(), "")
}

/// Reads the rest of an escape such as `\u{1b}`; `None` if it names no character.
fn unescape_code(rest: &mut Chars<'_>) -> Option<char> {
    let (digits, next) = rest.as_str().strip_prefix('{')?.split_once('}')?;
    *rest = next.chars();
    u32::from_str_radix(digits, 16)
        .ok()
        .and_then(char::from_u32)
}

/// Returns whether a line belongs to the request, or shows a state of the
/// request's daemon that may have influenced its decisions.
fn is_relevant(line: &LogLine, request_lines: &[&LogLine], last: &LogLine) -> bool {
    if request_lines.contains(&line) {
        return true;
    }
    let is_own_daemon = request_lines.iter().any(|other| other.file == line.file);
    if !is_own_daemon || line.at > last.at {
        return false;
    }
    let age = last.at - line.at;
    if line.is_event(&SERVICE_EVENTS) && line.field("service") == last.field("service") {
        return age <= SERVICE_CONTEXT_DURATION;
    }
    if age > CONTEXT_DURATION {
        return false;
    }
    if line.is_event(&DAEMON_EVENTS) {
        return true;
    }
    let target = line.field("target");
    let was_chosen = request_lines
        .iter()
        .any(|other| other.field("target") == target);
    line.is_event(&TARGET_EVENTS) && target.is_some() && was_chosen
}

/// Returns sentences that say how the request ended and why.
fn verdict(last: &LogLine, relevant_lines: &[&LogLine]) -> Vec<String> {
    let mut sentences = Vec::new();
    let value = |name| last.field(name).unwrap_or("-");
    match last.field("event") {
        Some("answered") => sentences.push(format!(
            "verdict: target {} answered with status {} after {} ms, on attempt {}, with configuration {}",
            value("target"), value("status"), value("ms"), value("sent"), value("config")
        )),
        Some("refused") => {
            let kind = value("kind");
            let title = kind
                .parse::<RefusalKind>()
                .map_or("", |kind| kind.answer().title);
            sentences.push(format!("verdict: refused as {kind}: {title}"));
            sentences.push(match value("outcome") {
                "not-run" => "the request has not run and can be sent again".to_owned(),
                _ => "the request may have run".to_owned(),
            });
            if value("over_budget") == "true" {
                sentences.push("the retry budget was exhausted".to_owned());
            }
            if !matches!(value("detail"), "-" | "") {
                let (target, detail) = (value("target"), value("detail"));
                sentences.push(format!("the last attempt, at {target}, ended with: {detail}"));
            }
        }
        Some("caller_gone") => {
            sentences.push(format!("verdict: the caller disconnected after {} ms", value("ms")));
        }
        _ => sentences.push("verdict: the logs do not show how the request ended".to_owned()),
    }
    let store = relevant_lines
        .iter()
        .rev()
        .find(|line| line.is_event(&["store_lost", "store_back"]));
    if let Some(line) = store
        && line.is_event(&["store_lost"])
    {
        sentences.push(format!("the daemon had lost the store at {}", line.at));
    }
    let avoided = relevant_lines
        .iter()
        .any(|line| line.is_event(&["target_avoided"]));
    if avoided {
        sentences.push("the daemon was avoiding a target of the request".to_owned());
    }
    for (event, what) in [
        ("target_leaving", "said that they leave"),
        ("target_paused", "asked for a pause"),
    ] {
        let lines = relevant_lines.iter().filter(|line| line.is_event(&[event]));
        let targets: BTreeSet<&str> = lines.filter_map(|line| line.field("target")).collect();
        if !targets.is_empty() {
            let names: Vec<&str> = targets.into_iter().collect();
            sentences.push(format!("targets that {what}: {}", names.join(", ")));
        }
    }
    sentences
}
