//! A server: it registers in the store, checks
//! `Expect-Instance`, echoes the request's id, and can crash and start again.

use std::io;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use agatehold_platform_standin::StoreStandin;

use crate::http::Message;
use crate::http::Reader;

/// What a server does with a request that it runs.
pub enum Run {
    /// It answers with a body of this many bytes after this time.
    Answer { work: Duration, body_bytes: usize },
    /// It is full: it rejects the request and does not run it.
    Reject,
    /// It runs the request for this time and closes the connection without an answer.
    LoseAnswer { work: Duration },
    /// It crashes after this time, before it has written anything.
    Crash { work: Duration, down: Duration },
    /// It crashes after this time, while it writes its answer: the head and a third of
    /// the body are out.
    CrashInAnswer { work: Duration, down: Duration },
}

/// Decides what a server does with a request.
pub type Decide = dyn Fn(&Server, &Message) -> Run + Send + Sync;

struct State {
    /// The Unix millisecond of the process's start.
    born: u64,
    /// Whether the process runs.
    is_up: bool,
    /// The number of the process, from 1.
    lifetime: u32,
    running: u32,
    connections: Vec<TcpStream>,
    /// The ids of the requests whose connections were closed while they ran. The server
    /// then drops them.
    broken_off: Vec<String>,
}

/// A server. Its process has several lifetimes under one id and address.
pub struct Server {
    pub id: String,
    service: String,
    zone: String,
    slots: u32,
    pub address: SocketAddr,
    state: Mutex<State>,
}

impl Server {
    /// Starts a server and registers it.
    pub fn start(
        store: &Arc<StoreStandin>,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        decide: Arc<Decide>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address: listener.local_addr()?,
            state: Mutex::new(State {
                born: unix_ms(),
                is_up: true,
                lifetime: 1,
                running: 0,
                connections: Vec::new(),
                broken_off: Vec::new(),
            }),
        });
        server.register(store);
        server.listen(listener, store, &decide);
        Ok(server)
    }

    /// Returns the number of the running process, from 1.
    pub fn lifetime(&self) -> u32 {
        self.state().lifetime
    }

    /// Returns whether the connection of a request was closed while the request ran.
    pub fn was_broken_off(&self, id: &str) -> bool {
        self.state().broken_off.iter().any(|other| other == id)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self, store: &StoreStandin) {
        let born = self.state().born;
        let entry = entry(&self.service, self.address, &self.zone, self.slots, born);
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn listen(
        self: &Arc<Self>,
        listener: TcpListener,
        store: &Arc<StoreStandin>,
        decide: &Arc<Decide>,
    ) {
        let (server, store, decide) = (Arc::clone(self), Arc::clone(store), Arc::clone(decide));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let lifetime = {
                    let mut state = server.state();
                    if !state.is_up {
                        return;
                    }
                    let Ok(clone) = stream.try_clone() else {
                        continue;
                    };
                    state.connections.push(clone);
                    state.lifetime
                };
                let (server, store, decide) =
                    (Arc::clone(&server), Arc::clone(&store), Arc::clone(&decide));
                // A connection ends with an error whenever its peer closes it.
                std::thread::spawn(move || server.serve(stream, lifetime, &store, &decide));
            }
        });
    }

    fn serve(
        self: &Arc<Self>,
        stream: TcpStream,
        lifetime: u32,
        store: &Arc<StoreStandin>,
        decide: &Arc<Decide>,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.next()? {
            let stream = &mut reader.stream;
            let id = request.id();
            if request.header("expect-instance") != Some(&self.id) {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Attempt-Id: {id}\r\n\
                     Instance-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )?;
                continue;
            }
            match decide(self, &request) {
                Run::Reject => write!(
                    stream,
                    "HTTP/1.1 503 Service Unavailable\r\nRequest-Attempt-Id: {id}\r\n\
                     Not-Executed: 1\r\nServer-Load: {slots},2,{slots}\r\n\
                     Content-Length: 0\r\n\r\n",
                    slots = self.slots
                )?,
                Run::Answer { work, body_bytes } => {
                    self.state().running += 1;
                    let is_closed = work_until_closed(stream, work)?;
                    let running = {
                        let mut state = self.state();
                        state.running = state.running.saturating_sub(1);
                        state.running + 1
                    };
                    if is_closed {
                        self.state().broken_off.push(id.to_owned());
                        return Ok(());
                    }
                    write!(
                        stream,
                        "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\n\
                         Response-Signature: {}.{lifetime}.{id}.{body_bytes}\r\n\
                         Server-Load: {running},0,{}\r\nContent-Length: {body_bytes}\r\n\r\n",
                        self.id, self.slots
                    )?;
                    stream.write_all(&vec![b'x'; body_bytes])?;
                }
                Run::LoseAnswer { work } => {
                    std::thread::sleep(work);
                    stream.shutdown(Shutdown::Both)?;
                    return Ok(());
                }
                Run::Crash { work, down } => {
                    std::thread::sleep(work);
                    self.crash(lifetime, down, store, decide);
                    return Ok(());
                }
                Run::CrashInAnswer { work, down } => {
                    std::thread::sleep(work);
                    write!(
                        stream,
                        "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\n\
                         Response-Signature: {}.{lifetime}.{id}.1500\r\n\
                         Content-Length: 1500\r\n\r\n",
                        self.id
                    )?;
                    stream.write_all(&[b'x'; 500])?;
                    std::thread::sleep(Duration::from_millis(5));
                    self.crash(lifetime, down, store, decide);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Ends the process: its connections and its listener close. It starts again under
    /// its id and address after `down`, with a new `born`.
    fn crash(
        self: &Arc<Self>,
        lifetime: u32,
        down: Duration,
        store: &Arc<StoreStandin>,
        decide: &Arc<Decide>,
    ) {
        {
            let mut state = self.state();
            if state.lifetime != lifetime || !state.is_up {
                return;
            }
            state.is_up = false;
            for connection in state.connections.drain(..) {
                // It may be closed already.
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect(self.address);
        let (server, store, decide) = (Arc::clone(self), Arc::clone(store), Arc::clone(decide));
        std::thread::spawn(move || {
            std::thread::sleep(down);
            let listener = loop {
                if let Ok(listener) = TcpListener::bind(server.address) {
                    break listener;
                }
                std::thread::sleep(Duration::from_millis(20));
            };
            {
                let mut state = server.state();
                state.born = unix_ms();
                state.is_up = true;
                state.lifetime += 1;
                state.running = 0;
            }
            server.register(&store);
            server.listen(listener, &store, &decide);
        });
    }
}

/// Returns the entry with which a server registers.
pub fn entry(service: &str, address: SocketAddr, zone: &str, slots: u32, born: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","warmup_left":"0ms","sequence":1,"born":{born}}}"#
    )
}

/// Works on a request; ends early and returns true if its connection is closed.
fn work_until_closed(stream: &TcpStream, work: Duration) -> io::Result<bool> {
    let until = Instant::now() + work;
    while Instant::now() < until {
        stream.set_read_timeout(Some(Duration::from_millis(5)))?;
        match stream.peek(&mut [0]) {
            Ok(0) => return Ok(true),
            Ok(_) => std::thread::sleep(Duration::from_millis(5)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return Ok(true),
        }
    }
    stream.set_read_timeout(None)?;
    Ok(false)
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
