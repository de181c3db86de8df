//! A stand-in of the platform's store. Each daemon has an entrance of its own, so that the
//! store can turn single daemons away and serve the others.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::base64;
use crate::http;
use crate::http::Message;
use crate::listen;
use crate::ms;

/// How long an answer takes.
const ANSWER_TIME: Duration = ms(4);

#[derive(Clone)]
struct Item {
    /// The value, as base64.
    value: String,
    revision: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    /// The value as base64; `None` if the key was deleted.
    value: Option<String>,
}

/// What an entrance has seen.
#[derive(Default)]
struct Entrance {
    /// Whether its daemon is turned away: connections are reset.
    is_closed: bool,
    /// When a watch last came or was last waiting.
    watched_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// The end and the length of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    entrances: Vec<Entrance>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = Item {
            value: value.clone(),
            revision,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.events.push(Event {
            key: key.to_owned(),
            revision,
            value: Some(value),
        });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.events.push(Event {
            key: key.to_owned(),
            revision: self.revision,
            value: None,
        });
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
            let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
            for key in keys {
                self.delete(&key);
            }
        }
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    /// Starts a store without items.
    pub fn start() -> Self {
        let state = State {
            revision: 10,
            ..State::default()
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let leases = Arc::clone(&shared);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(ms(50));
                leases.state.lock().expect("no holder panics").end_leases();
                leases.changed.notify_all();
            }
        });
        Self { shared }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder panics")
    }

    /// Opens an entrance for one daemon; returns its number and its address.
    pub fn open_entrance(&self) -> io::Result<(usize, SocketAddr)> {
        let (listener, address) = listen()?;
        let mut state = self.state();
        let number = state.entrances.len();
        state.entrances.push(Entrance::default());
        drop(state);
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream, number));
            }
        });
        Ok((number, address))
    }

    /// Turns the daemon of an entrance away by resets, or serves it again.
    pub fn turn_away(&self, entrance: usize, is_closed: bool) {
        self.state().entrances[entrance].is_closed = is_closed;
        self.shared.changed.notify_all();
    }

    /// Returns the entrances that had a watch within the last `within`.
    pub fn watching(&self, within: Duration) -> Vec<usize> {
        let state = self.state();
        let entrances = state.entrances.iter().enumerate();
        let recent = entrances.filter(|(_, entrance)| {
            let watched_at = entrance.watched_at;
            watched_at.is_some_and(|watched_at| watched_at.elapsed() <= within)
        });
        recent.map(|(number, _)| number).collect()
    }

    /// Writes a key as the operator or an upstream; the return is the confirmation.
    pub fn put(&self, key: &str, value: &str) {
        self.state().put(key, base64::encode(value.as_bytes()), 0);
        self.shared.changed.notify_all();
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        self.state().delete(key);
        self.shared.changed.notify_all();
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn serve(&self, stream: TcpStream, entrance: usize) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = http::read(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            let Some((status, body)) = self.answer(&call, entrance) else {
                break;
            };
            let text = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    /// Answers a call; `None` if its daemon is turned away.
    fn answer(&self, call: &Message, entrance: usize) -> Option<(u16, String)> {
        let (method, target) = call.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body = String::from_utf8_lossy(&call.body).into_owned();
        if path == "/kv-watch" {
            return self.watch(query, entrance);
        }
        let mut state = self.state();
        if state.entrances[entrance].is_closed {
            return None;
        }
        let answer = match (method, path) {
            ("GET", "/kv-range") => (200, range(&state, query)),
            ("POST", "/kv-lease") => create_lease(&mut state, &body),
            ("POST", "/kv-txn") => write(&mut state, &body),
            ("POST", _) => renew_lease(&mut state, path),
            ("DELETE", _) => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        self.shared.changed.notify_all();
        Some(answer)
    }

    fn watch(&self, query: &str, entrance: usize) -> Option<(u16, String)> {
        let prefix = parameter(query, "prefix");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait = ms(parameter(query, "wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state();
        loop {
            if state.entrances[entrance].is_closed {
                return None;
            }
            state.entrances[entrance].watched_at = Some(Instant::now());
            let mut events = String::new();
            for event in &state.events {
                if event.revision <= after || !event.key.starts_with(&prefix) {
                    continue;
                }
                if !events.is_empty() {
                    events.push(',');
                }
                let (key, revision) = (&event.key, event.revision);
                events += &match &event.value {
                    Some(value) => item_text(key, value, revision, 0),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                };
            }
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let revision = state.revision;
                let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return Some((200, body));
            }
            let waited = self.shared.changed.wait_timeout(state, until - now);
            state = waited.expect("no holder panics").0;
        }
    }
}

fn item_text(key: &str, value: &str, revision: u64, lease: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":{lease}}}"
    )
}

/// Returns a parameter of a query with its escapes resolved.
fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(other, _)| *other == name);
    let mut text = value.map_or("", |(_, value)| value).to_owned();
    for (escape, character) in [
        ("%2F", "/"),
        ("%2f", "/"),
        ("%3A", ":"),
        ("%2D", "-"),
        ("+", " "),
    ] {
        text = text.replace(escape, character);
    }
    text
}

/// The number of items on a page.
const PAGE_ITEMS: usize = 500;

fn range(state: &State, query: &str) -> String {
    let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
    let matching = state.items.iter();
    let matching = matching.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
    let matching: Vec<_> = matching.collect();
    let texts = matching.iter().take(PAGE_ITEMS);
    let texts = texts.map(|(key, item)| item_text(key, &item.value, item.revision, item.lease));
    let texts: Vec<String> = texts.collect();
    format!(
        "{{\"items\":[{}],\"truncated\":{},\"store_revision\":{}}}",
        texts.join(","),
        matching.len() > PAGE_ITEMS,
        state.revision
    )
}

/// Returns the text or the number of a field, after its first occurrence in JSON text.
fn field(json: &str, name: &str) -> String {
    let Some((_, rest)) = json.split_once(&format!("\"{name}\":")) else {
        return String::new();
    };
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next().unwrap_or("").to_owned(),
        None => rest.chars().take_while(char::is_ascii_digit).collect(),
    }
}

fn create_lease(state: &mut State, body: &str) -> (u16, String) {
    let text = field(body, "ttl_time");
    let length_ms = match text.strip_suffix("ms") {
        Some(digits) => digits.parse().unwrap_or(5_000.0),
        None => text.trim_end_matches('s').parse().unwrap_or(5.0) * 1_000.0,
    };
    let length = ms(length_ms as u64);
    state.last_lease += 1;
    let lease = state.last_lease;
    state
        .leases
        .insert(lease, (Instant::now() + length, length));
    (
        200,
        format!(
            "{{\"lease\":{lease},\"ttl_time\":\"{}ms\"}}",
            length.as_millis()
        ),
    )
}

fn renew_lease(state: &mut State, path: &str) -> (u16, String) {
    let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
    let row = lease.and_then(|lease: u64| state.leases.get_mut(&lease));
    let Some((end, length)) = row else {
        return (404, "{}".to_owned());
    };
    *end = Instant::now() + *length;
    (
        200,
        format!("{{\"ttl_time\":\"{}ms\"}}", length.as_millis()),
    )
}

/// Executes a write of one key, as the daemons send it.
fn write(state: &mut State, body: &str) -> (u16, String) {
    let writes = body.split_once("\"writes\":").map_or("", |(_, rest)| rest);
    let (key, value) = (field(writes, "key"), field(writes, "value"));
    let lease = field(writes, "lease").parse().unwrap_or(0);
    if lease != 0 && !state.leases.contains_key(&lease) {
        return (404, "{}".to_owned());
    }
    state.put(&key, value, lease);
    (200, format!("{{\"revision\":{}}}", state.revision))
}
