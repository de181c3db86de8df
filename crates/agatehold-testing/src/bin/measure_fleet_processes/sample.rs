//! Reads the resource usage of daemon processes.

use std::fs;

use agatehold_core::ids::HostId;
use agatehold_core::table::Table;
use agatehold_core::units::ByteCount;
use agatehold_core::units::DurationMs;
use agatehold_testing::common::process_memory;
use agatehold_testing::fleet::DaemonProcess;

/// The unit of CPU times in `/proc/<pid>/stat`. Linux reports them in 1/100 s
/// (USER_HZ) on all machines that this program runs on.
const CPU_TICK_MS: u64 = 10;

/// The resources that a process has used since its start, and its memory.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessSample {
    /// CPU time of all threads.
    pub(crate) cpu_ms: DurationMs,
    /// CPU time of the thread `control`, which owns the tables.
    pub(crate) control_cpu_ms: DurationMs,
    /// Resident memory.
    pub(crate) resident_bytes: ByteCount,
    /// The peak of resident memory since the start.
    pub(crate) peak_bytes: ByteCount,
    /// The size of encoded envelopes sent to other daemons.
    pub(crate) sent_bytes: ByteCount,
    /// The size of encoded envelopes received from other daemons.
    pub(crate) received_bytes: ByteCount,
}

/// Returns a sample of each running daemon.
pub(crate) fn read_all(daemons: &[DaemonProcess]) -> Table<HostId, ProcessSample> {
    let mut samples = Table::new();
    for daemon in daemons {
        if let Some(sample) = read(daemon) {
            samples.insert(daemon.host.clone(), sample);
        }
    }
    samples
}

/// Returns a sample of a daemon; `None` if the daemon doesn't respond or its
/// values can't be read.
pub(crate) fn read(daemon: &DaemonProcess) -> Option<ProcessSample> {
    let id = daemon.process_id()?;
    let page = daemon.read_admin("/metrics")?;
    let page = String::from_utf8_lossy(&page);
    let bytes = |direction: &str| {
        let series = format!("agatehold_peer_bytes_total{{direction=\"{direction}\"}} ");
        let value = page.lines().find_map(|line| line.strip_prefix(&series));
        ByteCount(value.and_then(|value| value.parse().ok()).unwrap_or(0))
    };
    Some(ProcessSample {
        cpu_ms: cpu_time(&format!("/proc/{id}/stat"))?,
        control_cpu_ms: thread_cpu(id, "control")?,
        resident_bytes: process_memory(id, "VmRSS:")?,
        peak_bytes: process_memory(id, "VmHWM:")?,
        sent_bytes: bytes("sent"),
        received_bytes: bytes("received"),
    })
}

/// Returns the CPU time from a `stat` file of a process or thread, see proc(5).
fn cpu_time(file: &str) -> Option<DurationMs> {
    let text = fs::read_to_string(file).ok()?;
    // The command name in parentheses may contain spaces. User and system time
    // are the 12th and 13th fields after it.
    let (_, fields) = text.rsplit_once(") ")?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(DurationMs((user + system) * CPU_TICK_MS))
}

fn thread_cpu(process: u32, name: &str) -> Option<DurationMs> {
    for entry in fs::read_dir(format!("/proc/{process}/task")).ok()? {
        let path = entry.ok()?.path();
        // A thread may exit between listing and reading.
        let Ok(found) = fs::read_to_string(path.join("comm")) else {
            continue;
        };
        if found.trim_end() == name {
            return cpu_time(path.join("stat").to_str()?);
        }
    }
    None
}

/// Returns the load averages of the machine over 1, 5 and 15 minutes.
pub(crate) fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let fields: Vec<&str> = text.split_whitespace().take(3).collect();
    fields.join(" ")
}

/// Converts a size to megabytes (10^6 bytes).
pub(crate) fn megabytes(size: ByteCount) -> f64 {
    size.0 as f64 / 1e6
}
