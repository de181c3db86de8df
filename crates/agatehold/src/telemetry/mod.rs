//! Logs and metrics of the process.

mod field_text;
mod line_writer;

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::time::Duration;

use log::LevelFilter;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use simplelog::ConfigBuilder;
use simplelog::WriteLogger;

use agatehold_core::config::TrafficClass;
use agatehold_core::ids::ServiceName;
use agatehold_core::ids::TenantName;

pub(crate) use field_text::FieldText;

/// The number of metric series that all tenants are hashed into. With 63,000
/// tenants, one histogram per tenant would take most of the daemon's memory.
const TENANT_SERIES: u64 = 64;

/// The bucket bounds of latency histograms in seconds. They are dense around
/// 1.6 ms, the target for the latency that the daemon adds.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.0002, 0.0004, 0.0008, 0.0016, 0.003, 0.006, 0.012, 0.025, 0.05, 0.1, 0.25, 1.0, 4.0, 10.0,
];

/// Starts logging to standard error.
pub(crate) fn start_logging(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Error)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("agatehold")
        .build();
    WriteLogger::init(level, config, std::io::stderr())
}

/// Starts logging to standard output from a dedicated thread, so that logging a
/// line never blocks the thread that logs it.
pub(crate) fn start_event_log(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("agatehold")
        .build();
    WriteLogger::init(level, config, line_writer::start())
}

/// Waits until the lines logged so far are written, but not longer than the
/// flush timeout.
pub(crate) fn flush_event_log() {
    log::logger().flush();
}

/// Installs the metrics recorder and returns the handle that renders the
/// metrics.
pub(crate) fn start_metrics() -> Option<PrometheusHandle> {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_S)
        .ok()?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).ok()?;
    Some(handle)
}

/// Records the metrics of a request that was answered or refused, or whose
/// caller disconnected.
pub(crate) fn record_request(
    service: &ServiceName,
    class: TrafficClass,
    tenant: &TenantName,
    result: &'static str,
    total: Duration,
    added: Duration,
) {
    let service = service.to_string();
    let class = class.to_string();
    metrics::counter!("agatehold_requests_total",
        "service" => service.clone(), "class" => class.clone(), "result" => result)
    .increment(1);
    metrics::histogram!("agatehold_request_seconds",
        "service" => service.clone(), "class" => class.clone())
    .record(total.as_secs_f64());
    metrics::histogram!("agatehold_added_seconds", "service" => service, "class" => class)
        .record(added.as_secs_f64());
    metrics::histogram!("agatehold_tenant_request_seconds", "series" => tenant_series(tenant))
        .record(total.as_secs_f64());
}

/// Returns the metric series of a tenant, which is the same on every daemon.
fn tenant_series(tenant: &TenantName) -> String {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    let series = hasher.hash_one(tenant) % TENANT_SERIES;
    format!("{series:02}")
}
