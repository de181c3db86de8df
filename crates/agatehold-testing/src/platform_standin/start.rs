//! Starts the threads of the platform stand-in.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use http::Request;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::oneshot;

use agatehold_core::units::DurationMs;

use crate::common::CloseReason;
use crate::common::HandlerResult;
use crate::common::serve;
use crate::common::serve_control;
use crate::common::text_response;
use crate::common::unix_now;

use super::protocol::parse_request;
use super::systems;
use super::tables::Call;
use super::tables::CallAction;
use super::tables::Event;
use super::tables::Tables;

/// The options of the platform stand-in.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// The listen address of the platform API.
    pub listen: SocketAddr,
    /// The listen address of the control port.
    pub control: SocketAddr,
    /// The delay until a new host list becomes visible.
    pub host_lag_ms: DurationMs,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            host_lag_ms: DurationMs(10_000),
        }
    }
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct RunningPlatform {
    /// The bound address of the platform API.
    pub platform: SocketAddr,
    /// The bound address of the control port.
    pub control: SocketAddr,
    stop: oneshot::Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl RunningPlatform {
    /// Stops the threads and waits for them.
    pub fn close(self) {
        // The send fails only if the traffic thread has ended already.
        let _ = self.stop.send(());
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Starts the platform stand-in.
pub fn start(options: PlatformOptions) -> io::Result<RunningPlatform> {
    let (events, inbox) = unbounded();
    let (stop, stopped) = oneshot::channel();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let listener = runtime.block_on(TcpListener::bind(options.listen))?;
    let control_listener = runtime.block_on(TcpListener::bind(options.control))?;
    let platform = listener.local_addr()?;
    let control = control_listener.local_addr()?;

    let tables = Tables {
        host_lag_ms: options.host_lag_ms,
        ..Tables::default()
    };
    let state_thread = thread::Builder::new()
        .name("platform-state".to_owned())
        .spawn(move || run_state(tables, &inbox))?;
    let traffic_thread = thread::Builder::new()
        .name("platform-traffic".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                tokio::spawn(serve_control(
                    control_listener,
                    events.clone(),
                    Event::Control,
                ));
                tokio::spawn(serve(listener, move |request| {
                    handle_call(request, events.clone())
                }));
                // Ends on a stop signal and when `RunningPlatform` is dropped.
                let _ = stopped.await;
            });
        })?;
    Ok(RunningPlatform {
        platform,
        control,
        stop,
        threads: vec![traffic_thread, state_thread],
    })
}

/// Runs the systems at each event and deadline until all senders of events are
/// dropped.
fn run_state(mut tables: Tables, inbox: &Receiver<Event>) {
    loop {
        let received = match systems::next_deadline(&tables) {
            Some(deadline) => {
                let wait = deadline.since(unix_now());
                inbox.recv_timeout(Duration::from_millis(wait.0))
            }
            None => inbox.recv().map_err(RecvTimeoutError::from),
        };
        match received {
            Ok(event) => systems::tick(&mut tables, unix_now(), Some(event)),
            Err(RecvTimeoutError::Timeout) => systems::tick(&mut tables, unix_now(), None),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

async fn handle_call(request: Request<Bytes>, events: Sender<Event>) -> HandlerResult {
    let request = match parse_request(&request) {
        Ok(request) => request,
        Err(status) => return Ok(text_response(status, "")),
    };
    let (reply, action) = oneshot::channel();
    events
        .send(Event::Call(Call { request, reply }))
        .map_err(|_| CloseReason::Stopped)?;
    match action.await.map_err(|_| CloseReason::Stopped)? {
        CallAction::Respond(response, delay) => {
            if delay > DurationMs(0) {
                tokio::time::sleep(Duration::from_millis(delay.0)).await;
            }
            Ok(response)
        }
        CallAction::Close => Err(CloseReason::ByFault),
    }
}
