//! A stand-in of the clients (PROTOCOL.md, "Ingress", "Requests" and "Answers").

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::resolve;
use crate::http::Connection;

/// The number of requests after which a client opens a new connection.
const REQUESTS_PER_CONNECTION: u32 = 6;

/// One client attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub gateway: SocketAddr,
    pub path: String,
    pub is_unsafe: bool,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// The status, or 0 if the connection ended without an answer.
    pub status: u16,
}

pub struct Clients {
    pub attempts: Mutex<Vec<Attempt>>,
    is_stopped: AtomicBool,
    number: AtomicU64,
}

/// What a client sends.
#[derive(Clone)]
pub struct Route {
    pub host: String,
    /// The path, or its first part if each request has one of its own.
    pub path: String,
    /// Whether all requests are for the same path.
    pub is_page: bool,
    pub is_unsafe: bool,
    pub deadline_ms: u64,
}

impl Clients {
    pub fn new() -> Arc<Clients> {
        Arc::new(Clients {
            attempts: Mutex::default(),
            is_stopped: AtomicBool::new(false),
            number: AtomicU64::new(0),
        })
    }

    /// Starts a client of a zone that sends a request each `pause` after an answer. It
    /// looks up addresses every two seconds, and keeps a connection while its address
    /// is in the answer, for a few requests.
    pub fn spawn(self: &Arc<Self>, directories: Vec<SocketAddr>, zone: &str, route: Route, pause: Duration) {
        let (clients, zone) = (Arc::clone(self), zone.to_owned());
        std::thread::spawn(move || {
            let mut seed = clients.number.fetch_add(1, Ordering::SeqCst) + 1;
            let (mut addresses, mut looked_up): (Vec<SocketAddr>, Option<Instant>) = (Vec::new(), None);
            let mut open: Option<(SocketAddr, Connection)> = None;
            let mut sent = 0_u32;
            while !clients.is_stopped.load(Ordering::SeqCst) {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let random = (seed >> 33) as usize;
                if looked_up.is_none_or(|at| at.elapsed() > Duration::from_secs(2)) {
                    for turn in 0..3 {
                        let found = resolve(directories[(random + turn) % directories.len()], &route.host, &zone);
                        if !found.is_empty() {
                            addresses = found;
                            break;
                        }
                    }
                    looked_up = Some(Instant::now());
                }
                if addresses.is_empty() {
                    std::thread::sleep(pause);
                    continue;
                }
                if open.as_ref().is_some_and(|(address, _)| !addresses.contains(address)) {
                    open = None;
                }
                if open.is_none() {
                    let address = addresses[random % addresses.len()];
                    match connect(address) {
                        Some(connection) => open = Some((address, connection)),
                        None => {
                            std::thread::sleep(pause);
                            continue;
                        }
                    }
                }
                if let Some((address, connection)) = &mut open {
                    let address = *address;
                    sent += 1;
                    let is_open = clients.send(address, connection, &route).is_some();
                    if !is_open || sent % REQUESTS_PER_CONNECTION == 0 {
                        open = None;
                    }
                }
                std::thread::sleep(pause);
            }
        });
    }

    /// Sends a request and records how it ended; `None` if the connection is closed.
    pub fn send(&self, address: SocketAddr, connection: &mut Connection, route: &Route) -> Option<()> {
        self.send_once(address, connection, route).1
    }

    /// As [`Self::send`]; returns the status, too.
    pub fn send_once(&self, address: SocketAddr, connection: &mut Connection, route: &Route) -> (u16, Option<()>) {
        let id = format!("{:016x}", self.number.fetch_add(1, Ordering::SeqCst) + 0x9c41_0000_0000);
        let sent_at = Instant::now();
        let answer = exchange(connection, route, &id);
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        self.attempts.lock().unwrap().push(Attempt {
            id,
            gateway: address,
            path: route.path.clone(),
            is_unsafe: route.is_unsafe,
            sent_at,
            ended_at: Instant::now(),
            status,
        });
        (status, answer.and_then(|answer| (!answer.closes()).then_some(())))
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
    }
}

pub fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    Some(Connection::new(stream))
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const InternetAddress, length: u32) -> i32;
    #[link_name = "connect"]
    fn connect_socket(socket: i32, address: *const InternetAddress, length: u32) -> i32;
}

/// `struct sockaddr_in`.
#[repr(C)]
struct InternetAddress {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

impl InternetAddress {
    fn new(ip: Ipv4Addr, port: u16) -> Self {
        let address = u32::from_ne_bytes(ip.octets());
        Self { family: 2, port: port.to_be(), address, zero: [0; 8] }
    }
}

/// Connects from a loopback address of the caller's own.
pub fn connect_from(caller: Ipv4Addr, to: SocketAddr) -> Option<Connection> {
    let SocketAddr::V4(to) = to else {
        return None;
    };
    let (from, to) = (InternetAddress::new(caller, 0), InternetAddress::new(*to.ip(), to.port()));
    // SAFETY: the addresses live through the calls, and the socket is owned by the stream.
    let stream = unsafe {
        let number = socket(2, 1, 0);
        if number < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(number);
        if bind(number, &from, 16) != 0 || connect_socket(number, &to, 16) != 0 {
            return None;
        }
        stream
    };
    Some(Connection::new(stream))
}

pub fn exchange(connection: &mut Connection, route: &Route, id: &str) -> Option<crate::http::Message> {
    let limit = Duration::from_millis(route.deadline_ms);
    connection.stream.set_read_timeout(Some(limit)).ok()?;
    let method = if route.is_unsafe { "POST" } else { "GET" };
    let headers = [
        ("Host", route.host.clone()),
        ("Request-Attempt-Id", id.to_owned()),
        ("Deadline-Remaining", route.deadline_ms.to_string()),
    ];
    let path = match route.is_page {
        true => route.path.clone(),
        false => format!("{}{id}", route.path),
    };
    let body: &[u8] = if route.is_unsafe { b"a closure" } else { b"" };
    connection.write(&format!("{method} {path} HTTP/1.1"), &headers, body).ok()?;
    connection.read().ok()?
}
