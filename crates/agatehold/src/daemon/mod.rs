//! Starts the threads of the daemon and stops them in order.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use crossbeam::channel::tick;
use crossbeam::select;
use log::LevelFilter;
use metrics_exporter_prometheus::PrometheusHandle;
use quick_error::quick_error;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use agatehold_core::control::StopStep;
use agatehold_core::ids::Incarnation;
use agatehold_core::membership::new_incarnation;
use agatehold_settings::process::DaemonSettings;
use agatehold_settings::process::LogLevel;
use agatehold_wire::peers::EnvelopeError;
use agatehold_wire::peers::PeerKey;

use crate::admin;
use crate::clock::Clock;
use crate::control::ControlThread;
use crate::control::Input;
use crate::control::REPORTS_LENGTH;
use crate::control::input_channel;
use crate::peers::PeerThread;
use crate::platform::PlatformThreads;
use crate::shared::Shared;
use crate::telemetry;
use crate::traffic::AbortHandle;
use crate::traffic::TrafficThreads;

/// The time between two passes over the histograms' samples.
const METRICS_UPKEEP: Duration = Duration::from_secs(5);

quick_error! {
    /// Why the daemon does not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address of the settings can't be bound, or a thread not started.
        Io(key: &'static str, error: std::io::Error) {
            display("starting {} failed: {}", key, error)
            source(error)
        }
        /// The logger or the recorder of metrics is installed already.
        Telemetry {
            display("starting logs and metrics failed")
        }
        /// The bounds in the settings can't be read.
        Bounds(error: agatehold_platform::DecodeError) {
            display("[platform] bounds: {}", error)
            source(error)
        }
        /// The secret of the settings can't be used.
        Secret(error: EnvelopeError) {
            display("[peers] secret: {}", error)
            source(error)
        }
    }
}

/// How the daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// Every request was answered.
    Gracefully,
    /// So many requests were cut.
    Cut(u64),
}

/// Runs the daemon until it is stopped.
pub(crate) fn run(settings: DaemonSettings) -> Result<Ended, StartError> {
    telemetry::start_logging(level_filter(settings.log)).map_err(|_| StartError::Telemetry)?;
    let metrics = telemetry::start_metrics().ok_or(StartError::Telemetry)?;
    let key = PeerKey::new(settings.peers.secret.expose()).map_err(StartError::Secret)?;
    let incarnation = draw_incarnation();
    let (reports, reports_seen) = bounded(REPORTS_LENGTH);
    let (inputs, inputs_seen) = input_channel();
    let (stop_steps, stop_steps_seen) = bounded(1);
    let shared = Arc::new(Shared::new(Clock::new(), incarnation, settings, reports));

    let peers = PeerThread::start(&shared, key, inputs.clone())
        .map_err(|error| StartError::Io("[listen] peers", error))?;
    let platform = PlatformThreads::start(&shared, &inputs)
        .map_err(|error| StartError::Io("the platform threads", error))?;
    let control = ControlThread::start(
        &shared,
        platform.queue(),
        peers.queue(),
        inputs_seen,
        reports_seen,
        stop_steps,
    )
    .map_err(|error| StartError::Io("the control thread", error))?;
    let traffic = TrafficThreads::start(&shared)
        .map_err(|error| StartError::Io("[listen] callers", error))?;
    let metrics_upkeep = metrics.clone();
    admin::start(&shared, inputs.clone(), metrics)
        .map_err(|error| StartError::Io("[listen] admin", error))?;
    log::info!(
        "daemon started: host={} incarnation={} callers={}",
        shared.host,
        shared.incarnation(),
        traffic.address()
    );

    start_metrics_upkeep(metrics_upkeep);
    let signals = watch_signals(&inputs)?;
    let abort = traffic.abort_handle(&shared);
    if wait_for_stop(&stop_steps_seen, &signals) {
        abort.abort();
    }
    watch_abort(stop_steps_seen, signals, abort.clone());
    traffic.close();
    // The other daemons still learn from this one while it finishes.
    let _ = inputs.send(Input::Close);
    control.close();
    peers.close();
    platform.close();
    let cut = abort.aborted_requests();
    log::info!("daemon stopped: cut={cut}");
    Ok(match cut {
        0 => Ended::Gracefully,
        requests => Ended::Cut(requests),
    })
}

/// Draws the incarnation of this start.
pub(crate) fn draw_incarnation() -> Incarnation {
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    let unix_ms = u64::try_from(unix_ms).unwrap_or(0);
    new_incarnation(unix_ms, &mut rand::rng())
}

/// Folds samples into the histograms from time to time; without it they are
/// kept one by one until somebody reads the metrics.
pub(crate) fn start_metrics_upkeep(metrics: PrometheusHandle) {
    let spawned = std::thread::Builder::new()
        .name("metrics".to_owned())
        .spawn(move || {
            for _ in tick(METRICS_UPKEEP) {
                metrics.run_upkeep();
            }
        });
    if let Err(error) = spawned {
        log::warn!("starting the metrics thread failed: {error}");
    }
}

/// Returns the filter of the log library for a level.
pub(crate) fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

/// Begins the planned stop at the first signal and passes on the others.
fn watch_signals(inputs: &Sender<Input>) -> Result<Receiver<()>, StartError> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| StartError::Io("the signal handler", error))?;
    let (second, second_seen) = bounded(1);
    let inputs = inputs.clone();
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            let mut stopping = false;
            for _ in signals.forever() {
                if stopping {
                    let _ = second.try_send(());
                    continue;
                }
                stopping = true;
                log::info!("planned stop begins");
                let _ = inputs.send(Input::Stop);
            }
        })
        .map_err(|error| StartError::Io("the signal thread", error))?;
    Ok(second_seen)
}

/// Waits until the stop may close the listener; returns whether it is forced.
fn wait_for_stop(steps: &Receiver<StopStep>, signals: &Receiver<()>) -> bool {
    loop {
        select! {
            recv(steps) -> step => match step {
                Ok(StopStep::Close) => return false,
                Ok(StopStep::Abort) | Err(_) => return true,
                Ok(StopStep::None | StopStep::Drain) => {}
            },
            recv(signals) -> _ => return true,
        }
    }
}

/// Ends the requests that are still being finished at a second signal or at
/// the time limit of the stop.
fn watch_abort(steps: Receiver<StopStep>, signals: Receiver<()>, abort: AbortHandle) {
    let spawned = std::thread::Builder::new()
        .name("abort".to_owned())
        .spawn(move || {
            if wait_for_abort(&steps, &signals) {
                abort.abort();
            }
        });
    if let Err(error) = spawned {
        log::warn!("starting the abort thread failed: {error}");
    }
}

/// Returns whether an abort was asked for before the control thread ended.
fn wait_for_abort(steps: &Receiver<StopStep>, signals: &Receiver<()>) -> bool {
    loop {
        select! {
            recv(steps) -> step => match step {
                Ok(StopStep::Abort) => return true,
                Ok(_) => {}
                Err(_) => return false,
            },
            recv(signals) -> _ => return true,
        }
    }
}
