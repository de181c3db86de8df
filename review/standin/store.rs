//! A stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store").

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json::{decode64, encode64, Json};

/// "4 ms an answer" (SYSTEM.md).
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    at: Instant,
    key: String,
    /// `None` if the key was deleted.
    item: Option<Item>,
    revision: u64,
}

#[derive(Default)]
struct Tables {
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    stale_reads: u64,
}

pub struct Store {
    /// The addresses whose callers are turned away with 503.
    turned_away: Mutex<HashSet<SocketAddr>>,
    tables: Mutex<Tables>,
    changed: Condvar,
    /// How old the answers to reads with `serializable` = 1 are.
    stale: Duration,
}

impl Store {
    pub fn start(stale: Duration) -> Arc<Store> {
        let store = Arc::new(Store {
            turned_away: Mutex::default(),
            tables: Mutex::default(),
            changed: Condvar::new(),
            stale,
        });
        let shared = Arc::clone(&store);
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(50));
            shared.expire();
        });
        store
    }

    /// Opens an address of the store's; each machine gets one of its own, so that the
    /// store can tell the machines apart.
    pub fn open(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::clone(self);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                std::thread::spawn(move || shared.serve(address, Connection::new(stream)));
            }
        });
        address
    }

    /// Turns the machines at these addresses away from now on, and serves all others.
    pub fn turn_away(&self, addresses: &[SocketAddr]) {
        *self.turned_away.lock().unwrap() = addresses.iter().copied().collect();
    }

    /// Writes a key as the operator or an upstream does.
    pub fn put(&self, key: &str, value: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    /// Removes a key as an upstream's end does.
    pub fn delete(&self, key: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.delete(key);
        self.changed.notify_all();
    }

    /// The number of answers to reads with `serializable` = 1 that were not current.
    pub fn stale_reads(&self) -> u64 {
        self.tables.lock().unwrap().stale_reads
    }

    fn expire(&self) {
        let mut tables = self.tables.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = tables.leases.iter().filter(|l| l.1 .0 <= now).map(|l| *l.0).collect();
        for lease in ended {
            tables.end_lease(lease);
        }
        self.changed.notify_all();
    }

    fn serve(&self, address: SocketAddr, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            std::thread::sleep(ANSWER_TIME);
            let method = request.first.split(' ').next().unwrap_or("").to_owned();
            let target = request.second().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let is_away = || self.turned_away.lock().unwrap().contains(&address);
            let (status, answer) = match is_away() {
                true => (503, "{}".to_owned()),
                false => self.answer(&method, path, &parse_query(query), &body),
            };
            // A watch may have waited since before.
            let is_cut = path == "/kv-watch" && is_away();
            let (status, answer) = if is_cut { (503, "{}".to_owned()) } else { (status, answer) };
            let first = format!("HTTP/1.1 {status} X");
            let headers = [("Content-Type", "application/json".to_owned())];
            if connection.write(&first, &headers, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, path: &str, query: &HashMap<String, String>, body: &str) -> (u16, String) {
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (method, path) {
            ("GET", "/kv-range") => self.range(&field("prefix"), &field("after"), field("serializable") == "1"),
            ("GET", "/kv-key") => {
                let tables = self.tables.lock().unwrap();
                match tables.items.get(&field("key")) {
                    Some(item) => (200, item_json(&field("key"), item)),
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/kv-watch") => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                self.watch(&field("prefix"), after, wait)
            }
            ("POST", "/kv-lease") => {
                let mut tables = self.tables.lock().unwrap();
                let ttl = Json::parse(body).and_then(|b| b.get("ttl_time")?.text().and_then(parse_time));
                let ttl = ttl.unwrap_or(Duration::from_secs(5));
                tables.next_lease += 1;
                let lease = tables.next_lease;
                tables.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_time\":\"{}ms\"}}", ttl.as_millis()))
            }
            ("POST", "/kv-txn") => self.write(body),
            ("POST", _) if path.starts_with("/kv-keep/") => {
                let mut tables = self.tables.lock().unwrap();
                match path[9..].parse().ok().and_then(|id: u64| tables.leases.get_mut(&id)) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_time\":\"{}ms\"}}", ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let mut tables = self.tables.lock().unwrap();
                tables.end_lease(path[14..].parse().unwrap_or(0));
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str, serializable: bool) -> (u16, String) {
        let mut tables = self.tables.lock().unwrap();
        let (items, revision) = match serializable {
            false => (tables.items.clone(), tables.revision),
            true => tables.as_of(Instant::now() - self.stale),
        };
        tables.stale_reads += u64::from(revision < tables.revision);
        let found: Vec<String> = items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let items = found.join(",");
        (200, format!("{{\"items\":[{items}],\"truncated\":false,\"store_revision\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut tables = self.tables.lock().unwrap();
        loop {
            let events: Vec<String> = tables
                .changes
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(prefix))
                .map(|change| match &change.item {
                    Some(item) => item_json(&change.key, item),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                        change.key, change.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, revision) = (events.join(","), tables.revision);
                return (200, format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"));
            }
            tables = self.changed.wait_timeout(tables, until - now).unwrap().0;
        }
    }

    fn write(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let mut tables = self.tables.lock().unwrap();
        let list = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
        let text = |row: &Json, name: &str| row.get(name).and_then(Json::text).unwrap_or("").to_owned();
        for row in list("expected_revision") {
            let held = tables.items.get(&text(&row, "key")).map_or(0, |item| item.revision);
            if Some(held) != row.get("revision").and_then(Json::number) {
                return (412, "{\"items\":[]}".into());
            }
        }
        for row in list("writes") {
            let (key, lease) = (text(&row, "key"), row.get("lease").and_then(Json::number).unwrap_or(0));
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".into());
            }
            if lease != 0 && !tables.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
        }
        for row in list("writes") {
            let lease = row.get("lease").and_then(Json::number).unwrap_or(0);
            tables.put(&text(&row, "key"), decode64(&text(&row, "value")), lease);
        }
        for key in list("deletes") {
            tables.delete(key.text().unwrap_or(""));
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", tables.revision))
    }
}

impl Tables {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push(Change {
            at: Instant::now(),
            key: key.to_owned(),
            item: Some(item),
            revision: self.revision,
        });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.changes.push(Change {
            at: Instant::now(),
            key: key.to_owned(),
            item: None,
            revision: self.revision,
        });
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self.items.iter().filter(|i| i.1.lease == lease).map(|i| i.0.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }

    /// The items and the revision of an earlier moment.
    fn as_of(&self, moment: Instant) -> (BTreeMap<String, Item>, u64) {
        let (mut items, mut revision) = (BTreeMap::new(), 0);
        for change in self.changes.iter().take_while(|change| change.at <= moment) {
            revision = change.revision;
            match &change.item {
                Some(item) => items.insert(change.key.clone(), item.clone()),
                None => items.remove(&change.key),
            };
        }
        (items, revision)
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        encode64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn parse_time(text: &str) -> Option<Duration> {
    let (number, factor) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    Some(Duration::from_secs_f64(number.parse::<f64>().ok()? * factor))
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let mut fields = HashMap::new();
    for pair in query.split('&') {
        if let Some((name, value)) = pair.split_once('=') {
            fields.insert(name.to_owned(), unescape(value));
        }
    }
    fields
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
