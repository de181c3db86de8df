//! A stand-in of an upstream.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::listen;
use crate::unix_ms;

/// A request that an upstream began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    /// Whether it was answered before the upstream ended.
    pub is_answered: bool,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    streams: Vec<TcpStream>,
    has_ended: bool,
    /// The size that the body of each answer has at least.
    body_bytes: usize,
}

/// An upstream of a service.
#[derive(Clone)]
pub struct Upstream {
    pub instance_id: String,
    pub service: String,
    pub address: SocketAddr,
    born_ms: u64,
    work: Duration,
    state: Arc<Mutex<State>>,
}

impl Upstream {
    /// Starts an upstream whose runs take `work`.
    pub fn start(instance_id: &str, service: &str, work: Duration) -> io::Result<Self> {
        let (listener, address) = listen()?;
        let upstream = Self {
            instance_id: instance_id.to_owned(),
            service: service.to_owned(),
            address,
            born_ms: unix_ms(),
            work,
            state: Arc::default(),
        };
        let serving = upstream.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.state().has_ended {
                    // The process is gone: its port refuses connections.
                    return;
                }
                let upstream = serving.clone();
                std::thread::spawn(move || upstream.serve(stream));
            }
        });
        Ok(upstream)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Returns the entry in the store.
    pub fn entry(&self, state: &str, zone: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"1\",\"slots\":4,\"state\":\"{state}\",\"warmup_left\":\"0ms\",\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.born_ms
        )
    }

    /// Returns the time of its start, as in its entry.
    pub const fn born_ms(&self) -> u64 {
        self.born_ms
    }

    /// Returns the key in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.instance_id)
    }

    /// Returns the requests that it began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Sets the size that the body of each answer has at least.
    pub fn set_body_bytes(&self, body_bytes: usize) {
        self.state().body_bytes = body_bytes;
    }

    /// Ends the process: open connections are closed, and new ones are refused.
    pub fn end(&self) {
        let mut state = self.state();
        state.has_ended = true;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        // Wakes the listener, which ends.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(closing)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.state().streams.push(closing);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.state().has_ended {
                break;
            }
            let answer = self.answer(&request);
            if self.state().has_ended || writer.write_all(&answer).is_err() {
                break;
            }
            self.note_answer(request.header("request-attempt-id"));
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn note_answer(&self, id: &str) {
        let mut state = self.state();
        if let Some(run) = state.runs.iter_mut().rev().find(|run| run.id == id) {
            run.is_answered = true;
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.header("request-attempt-id");
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.instance_id {
            let text = format!(
                "HTTP/1.1 421 Misdirected\r\nRequest-Attempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return text.into_bytes();
        }
        self.state().runs.push(Run {
            id: id.to_owned(),
            at: Instant::now(),
            is_answered: false,
        });
        std::thread::sleep(self.work);
        let mut body = format!("{} by {}", id, self.instance_id);
        let missing_bytes = self.state().body_bytes.saturating_sub(body.len());
        body.extend(std::iter::repeat_n('.', missing_bytes));
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\nResponse-Signature: {}.1\r\nServer-Load: 1,0,4\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
            self.instance_id,
            body.len()
        );
        text.into_bytes()
    }
}
