//! A stand-in of an upstream (PROTOCOL.md, "Upstreams").

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub first: String,
    /// Whether the upstream began to work on it.
    pub ran: bool,
    /// How it ended: a status, `cut` or `running`.
    pub end: String,
}

pub struct Upstream {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: usize,
    run_time: Duration,
    running: AtomicUsize,
    arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<Vec<TcpStream>>,
    has_exited: AtomicBool,
    /// How many of 100 requests fail after they have run.
    failing: AtomicUsize,
}

impl Upstream {
    pub fn start(id: &str, service: &str, zone: &str, slots: usize, run_time: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for an upstream");
        let upstream = Arc::new(Upstream {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            slots,
            run_time,
            running: AtomicUsize::new(0),
            arrivals: Mutex::default(),
            connections: Mutex::default(),
            has_exited: AtomicBool::new(false),
            failing: AtomicUsize::new(0),
        });
        let shared = Arc::clone(&upstream);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.has_exited.load(Ordering::SeqCst) {
                    // Closes the connection.
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    shared.connections.lock().unwrap().push(copy);
                }
                let shared = Arc::clone(&shared);
                std::thread::spawn(move || shared.serve(Connection::new(stream)));
            }
        });
        upstream
    }

    /// The entry under which it registers.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"warmup_left\":\"0ms\",\"sequence\":1,\"born\":1796000000000}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Ends the upstream: it accepts nothing more and its connections end.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets so many of 100 requests fail after they have run.
    pub fn fail(&self, percent: usize) {
        self.failing.store(percent, Ordering::SeqCst);
    }

    /// Crashes the upstream: its connections are reset or end, and for a while nothing
    /// is accepted. It then serves again at its address, and holds nothing of before.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        self.has_exited.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let upstream = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(down);
            upstream.has_exited.store(false, Ordering::SeqCst);
        });
    }

    fn serve(&self, mut connection: Connection) {
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(10)));
        while let Ok(Some(request)) = connection.read() {
            if self.has_exited.load(Ordering::SeqCst) || self.answer(&request, &mut connection).is_err() {
                break;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &Message, connection: &mut Connection) -> io::Result<()> {
        let id = request.header("request-attempt-id").unwrap_or("").to_owned();
        let echo = ("Request-Attempt-Id", id.clone());
        let not_executed = ("Not-Executed", "1".to_owned());
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            self.record(&id, &request.first, false, "421");
            let instance = ("Instance-Id", self.id.clone());
            return connection.write("HTTP/1.1 421 Misdirected Request", &[echo, not_executed, instance], b"");
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots + 16 {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.record(&id, &request.first, false, "503");
            return connection.write("HTTP/1.1 503 Service Unavailable", &[echo, not_executed], b"");
        }
        let number = self.record(&id, &request.first, true, "running");
        let is_whole = self.run(connection);
        let left = self.running.fetch_sub(1, Ordering::SeqCst) - 1;
        let end = if is_whole { "200" } else { "cut" };
        self.arrivals.lock().unwrap()[number].end = end.to_owned();
        if !is_whole {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if (number * 37) % 100 < self.failing.load(Ordering::SeqCst) {
            // Its own failure, after the run: without `Not-Executed`, since it has run.
            self.arrivals.lock().unwrap()[number].end = "503 after its run".to_owned();
            let signature = ("Response-Signature", format!("{}.failed", self.id));
            let text = b"the work could not be completed";
            return connection.write("HTTP/1.1 503 Service Unavailable", &[echo, signature], text);
        }
        let body = format!("answer of {} to {} {}", self.id, request.first, id);
        let signature = ("Response-Signature", format!("{}.{}", self.id, body.len()));
        let load = ("Server-Load", format!("{left},0,{}", self.slots));
        connection.write("HTTP/1.1 200 OK", &[echo, signature, load], body.as_bytes())
    }

    /// Works on a request; returns whether it was finished.
    fn run(&self, connection: &Connection) -> bool {
        let until = Instant::now() + self.run_time;
        while Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
            if self.has_exited.load(Ordering::SeqCst) || connection.is_closed() {
                return false;
            }
        }
        true
    }

    fn record(&self, id: &str, first: &str, ran: bool, end: &str) -> usize {
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.push(Arrival {
            at: Instant::now(),
            id: id.to_owned(),
            first: first.to_owned(),
            ran,
            end: end.to_owned(),
        });
        arrivals.len() - 1
    }
}
