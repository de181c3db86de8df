//! Gateway mode, for platforms that store complete configurations and the list
//! of targets. Callers query the directory endpoint for the addresses of the
//! daemons to use and connect to them directly.

mod allotment_messages;
mod allotments;
mod connection;
mod control;
mod crash_check;
mod dispatch;
mod endpoint;
mod evidence;
mod http1;
mod member;
mod memory;
mod messages;
mod pending;
mod pool;
mod queue;
mod reading_time;
mod relay;
mod responses;
mod routes;
mod serve;
mod shared;
mod shutdown;
mod store;
mod store_tasks;
mod target;
mod tenant_metrics;
mod traffic;
mod write;

use std::path::Path;
use std::sync::Arc;

use crossbeam::channel::Receiver;
use crossbeam::channel::bounded;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use agatehold_platform::parse_bounds;
use agatehold_settings::process::GatewaySettings;
use agatehold_settings::process::parse_gateway;

use crate::clock::Clock;
use crate::daemon::StartError;
use crate::daemon::generate_incarnation;
use crate::daemon::level_filter;
use crate::daemon::start_metrics_upkeep;
use crate::telemetry;
use crate::telemetry::FieldText;

use control::ControlThread;
use shared::GatewayShared;
use traffic::TrafficThread;

/// The capacity of the queue of received signals.
const SIGNAL_QUEUE_LENGTH: usize = 8;

/// Runs the daemon until it receives SIGTERM or SIGINT.
pub(crate) fn run(path: &Path, settings: GatewaySettings) -> Result<(), StartError> {
    telemetry::start_event_log(level_filter(settings.log)).map_err(|_| StartError::Telemetry)?;
    let metrics = telemetry::start_metrics().ok_or(StartError::Telemetry)?;
    let bounds = parse_bounds(&settings.bounds).map_err(StartError::Bounds)?;
    let incarnation = generate_incarnation();
    let signals = watch_signals()?;
    let shared = Arc::new(GatewayShared::new(Clock::new_steady(), settings, bounds));
    log::info!(
        "event=start host={} incarnation={incarnation} version={} callers={} store={} least_entries={} resend_ratio={} resend_slack={} quota_window={} quota_overshoot={} quota_slack={} stop_limit={}",
        shared.settings.host.id,
        env!("CARGO_PKG_VERSION"),
        shared.settings.listen.callers,
        shared.settings.store,
        shared.settings.entries.least,
        shared.bounds.retry_budget_ratio,
        shared.bounds.retry_slack,
        shared.bounds.quota_window_ms,
        shared.bounds.quota_overshoot,
        shared.bounds.quota_slack,
        shared.bounds.stop_limit_ms
    );
    start_metrics_upkeep(metrics.clone());
    let control = ControlThread::start(&shared, incarnation)
        .map_err(|error| StartError::Io("the control thread", error))?;
    let traffic = TrafficThread::start(&shared, metrics)
        .map_err(|error| StartError::Io("[listen]", error))?;
    wait_for_stop(path, &signals);
    log::info!("event=stop_begins host={}", shared.settings.host.id);
    shared.begin_stop();
    control.announce_leave();
    traffic.wake();
    traffic.close();
    control.close();
    log::info!("event=stopped host={}", shared.settings.host.id);
    telemetry::flush_event_log();
    Ok(())
}

fn watch_signals() -> Result<Receiver<i32>, StartError> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|error| StartError::Io("the signal handler", error))?;
    let (signals_sender, signals_receiver) = bounded(SIGNAL_QUEUE_LENGTH);
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                // When the queue is full, dropping further signals changes nothing.
                let _ = signals_sender.try_send(signal);
            }
        })
        .map_err(|error| StartError::Io("the signal thread", error))?;
    Ok(signals_receiver)
}

/// Blocks until SIGTERM or SIGINT; reloads the settings on each SIGHUP.
fn wait_for_stop(path: &Path, signals: &Receiver<i32>) {
    for signal in signals {
        if signal != SIGHUP {
            return;
        }
        reload(path);
    }
}

/// Reloads the settings file. Only the log level takes effect in a running
/// process; all other settings keep the values read at startup.
fn reload(path: &Path) {
    let file = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            log::warn!("event=reload outcome=unreadable error=\"{error}\"");
            return;
        }
    };
    match parse_gateway(&file, &text) {
        Ok(settings) => {
            log::set_max_level(level_filter(settings.log));
            log::info!("event=reload outcome=done level={}", settings.log);
        }
        Err(errors) => {
            for error in errors {
                let error = error.to_string();
                log::warn!("event=reload outcome=invalid error={}", FieldText(&error));
            }
        }
    }
}
