//! Accepts callers' connections and serves them.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use agatehold_settings::process::LimitSettings;

use crate::clock::duration;

use super::StopStage;
use super::ThreadState;
use super::answer::AnswerBody;
use super::framing::ConnectionState;
use super::framing::FramingGuard;
use super::framing::FramingLimits;
use super::pool;
use super::serve;
use super::wait_for_stage;

/// The time that a caller's connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// How long one write to a caller may block because the caller does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// The delay after a failed accept, for example when the process has run out
/// of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The interval at which expired idle connections to targets are closed.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Accepts and serves connections until the shutdown, then waits for the
/// accepted connections to finish.
pub(super) async fn run(
    state: &Rc<ThreadState>,
    listener: TcpListener,
    stage: watch::Receiver<StopStage>,
) {
    let mut stop = stage.clone();
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(
                "failed to register the callers' listening socket with the async runtime: {error}"
            );
            std::process::abort();
        }
    };
    let mut connections = JoinSet::new();
    let mut sweep = tokio::time::interval(POOL_SWEEP_INTERVAL);
    loop {
        let limit = state.shared.settings.limits.caller_connections.0;
        let full = state.shared.connections.load(Ordering::Acquire) >= limit;
        tokio::select! {
            accepted = listener.accept(), if !full => match accepted {
                Ok((stream, _)) => serve_connection(state, &mut connections, stream, &stage),
                Err(error) => {
                    metrics::counter!("agatehold_accept_errors_total").increment(1);
                    log::debug!("failed to accept a caller's connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            _ = sweep.tick() => {
                let now = state.shared.clock.now();
                state.pool.borrow_mut().close_idle(now);
            }
            () = wait_for_stage(&mut stop, StopStage::Finishing) => break,
        }
    }
    accept_queued(state, &mut connections, &listener, &stage).await;
    drop(listener);
    tokio::select! {
        () = wait_for_connections(&mut connections) => {}
        () = wait_for_stage(&mut stop, StopStage::Aborting) => connections.abort_all(),
    }
}

/// Accepts the connections that wait in the kernel's accept queue before the
/// listener is closed; closing it first would reset them.
async fn accept_queued(
    state: &Rc<ThreadState>,
    connections: &mut JoinSet<()>,
    listener: &tokio::net::TcpListener,
    stage: &watch::Receiver<StopStage>,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = std::future::ready(()) => return,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(state, connections, stream, stage),
            Err(_) => return,
        }
    }
}

async fn wait_for_connections(connections: &mut JoinSet<()>) {
    while connections.join_next().await.is_some() {}
}

fn serve_connection(
    state: &Rc<ThreadState>,
    connections: &mut JoinSet<()>,
    stream: TcpStream,
    stage: &watch::Receiver<StopStage>,
) {
    state.shared.record_connection();
    let state = Rc::clone(state);
    let stage = stage.clone();
    connections.spawn_local(async move {
        run_connection(&state, stream, stage).await;
        state.shared.connections.fetch_sub(1, Ordering::AcqRel);
    });
}

async fn run_connection(
    state: &Rc<ThreadState>,
    stream: TcpStream,
    mut stage: watch::Receiver<StopStage>,
) {
    if pool::set_socket_options(&stream, pool::TRAFFIC_TCP_TIMEOUTS).is_err() {
        return;
    }
    let connection_state = Rc::new(ConnectionState::new());
    let limits = framing_limits(&state.shared.settings.limits);
    let guard = FramingGuard::new(stream, limits, Rc::clone(&connection_state));
    let service = service_fn(|request| {
        let state = Rc::clone(state);
        let connection_state = Rc::clone(&connection_state);
        async move {
            connection_state.handling.set(true);
            let response = serve::answer(state, request).await;
            if let Ok(response) = &response
                && let AnswerBody::Relayed(relay) = response.body()
            {
                connection_state.track_relay(relay.running.clone());
            }
            connection_state.handling.set(false);
            connection_state.record_activity();
            response
        }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(guard), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_for_stage(&mut stage, StopStage::Finishing) => {
            // hyper's graceful shutdown would close an idle connection at once
            // and lose a request that is already on its way. Instead, the
            // framing guard closes the connection once it has been idle for
            // `stop_idle_timeout`.
            connection_state.stopping.set(true);
            connection.await
        }
    };
    if let Err(error) = result {
        metrics::counter!("agatehold_caller_connection_errors_total").increment(1);
        log::debug!("a caller's connection ended with an error: {error}");
    }
}

fn framing_limits(limits: &LimitSettings) -> FramingLimits {
    FramingLimits {
        head_bytes: usize::try_from(limits.head_bytes.0).unwrap_or(usize::MAX),
        head_timeout: duration(limits.head_timeout_ms),
        idle_timeout: IDLE_TIMEOUT,
        stop_idle_timeout: duration(limits.quiet_ms),
        write_timeout: WRITE_TIMEOUT,
    }
}
