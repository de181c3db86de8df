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
use crate::control::REPORTS_CAPACITY;
use crate::control::input_channel;
use crate::peers::PeerThread;
use crate::platform::PlatformThreads;
use crate::shared::Shared;
use crate::telemetry;
use crate::traffic::AbortHandle;
use crate::traffic::TrafficThreads;

/// The time between two upkeep runs of the metrics recorder.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

quick_error! {
    /// Why the daemon does not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address from the settings can't be bound, or a thread can't be
        /// started.
        Io(key: &'static str, error: std::io::Error) {
            display("starting {} failed: {}", key, error)
            source(error)
        }
        /// The logger or the metrics recorder can't be installed, for example
        /// because another one is installed already.
        Telemetry {
            display("installing the logger or the metrics recorder failed")
        }
        /// The bounds in the settings can't be parsed.
        Bounds(error: agatehold_platform::DecodeError) {
            display("[platform] bounds: {}", error)
            source(error)
        }
        /// The secret in the settings can't be used as a key.
        Secret(error: EnvelopeError) {
            display("[peers] secret: {}", error)
            source(error)
        }
    }
}

/// How the daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopOutcome {
    /// Every request was answered.
    Graceful,
    /// The given number of requests was aborted.
    Aborted(u64),
}

/// Runs the daemon until it is stopped.
pub(crate) fn run(settings: DaemonSettings) -> Result<StopOutcome, StartError> {
    telemetry::start_logging(level_filter(settings.log)).map_err(|_| StartError::Telemetry)?;
    let metrics = telemetry::start_metrics().ok_or(StartError::Telemetry)?;
    let key = PeerKey::new(settings.peers.secret.expose()).map_err(StartError::Secret)?;
    let incarnation = generate_incarnation();
    let (reports, reports_receiver) = bounded(REPORTS_CAPACITY);
    let (inputs, inputs_receiver) = input_channel();
    let (stop_steps, stop_steps_receiver) = bounded(1);
    let shared = Arc::new(Shared::new(
        Clock::new_with_suspensions(),
        incarnation,
        settings,
        reports,
    ));

    let peers = PeerThread::start(&shared, key, inputs.clone())
        .map_err(|error| StartError::Io("[listen] peers", error))?;
    let platform = PlatformThreads::start(&shared, &inputs)
        .map_err(|error| StartError::Io("the platform threads", error))?;
    let control = ControlThread::start(
        &shared,
        platform.queue(),
        peers.queue(),
        inputs_receiver,
        reports_receiver,
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
    if wait_for_stop(&stop_steps_receiver, &signals) {
        abort.abort();
    }
    watch_abort(stop_steps_receiver, signals, abort.clone());
    traffic.close();
    // The control and peer threads end after the traffic threads, so that other
    // daemons still receive this one's state while it finishes its requests.
    let _ = inputs.send(Input::Close);
    control.close();
    peers.close();
    platform.close();
    let aborted = abort.aborted_requests();
    log::info!("daemon stopped: cut={aborted}");
    Ok(match aborted {
        0 => StopOutcome::Graceful,
        requests => StopOutcome::Aborted(requests),
    })
}

/// Generates the incarnation of this start of the daemon.
pub(crate) fn generate_incarnation() -> Incarnation {
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    let unix_ms = u64::try_from(unix_ms).unwrap_or(0);
    new_incarnation(unix_ms, &mut rand::rng())
}

/// Starts a thread that regularly aggregates samples into the histograms.
/// Without it, every sample stays in memory until the metrics are read.
pub(crate) fn start_metrics_upkeep(metrics: PrometheusHandle) {
    let spawned = std::thread::Builder::new()
        .name("metrics".to_owned())
        .spawn(move || {
            for _ in tick(METRICS_UPKEEP_INTERVAL) {
                metrics.run_upkeep();
            }
        });
    if let Err(error) = spawned {
        log::warn!("starting the metrics thread failed: {error}");
    }
}

/// Returns the log crate's filter for a level.
pub(crate) fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

/// Starts a thread that begins the planned stop at the first signal and reports
/// later signals on the returned channel.
fn watch_signals(inputs: &Sender<Input>) -> Result<Receiver<()>, StartError> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| StartError::Io("the signal handler", error))?;
    let (second_sender, second_signals) = bounded(1);
    let inputs = inputs.clone();
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            let mut stopping = false;
            for _ in signals.forever() {
                if stopping {
                    let _ = second_sender.try_send(());
                    continue;
                }
                stopping = true;
                log::info!("planned stop begins");
                let _ = inputs.send(Input::Stop);
            }
        })
        .map_err(|error| StartError::Io("the signal thread", error))?;
    Ok(second_signals)
}

/// Waits until a planned stop may close the listener, or until it is forced;
/// returns whether it is forced.
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

/// Starts a thread that aborts the remaining requests at another signal or when
/// the time limit of the stop has passed.
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

/// Waits for an abort or the end of the control thread; returns whether there
/// was an abort.
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
