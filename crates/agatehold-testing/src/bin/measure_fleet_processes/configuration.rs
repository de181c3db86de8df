//! Memory and control thread CPU time of a daemon by size of the configuration.

use std::error::Error;
use std::fmt::Write as _;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use agatehold_core::ids::NoteNumber;
use agatehold_testing::fleet::DaemonProcess;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;

use super::sample;

/// The size of the configuration that agatehold is designed for.
const DESIGN_SIZE: ConfigurationSize = ConfigurationSize {
    services: 340,
    targets: 9_900,
    routes: 3_800,
    tenants: 63_000,
};

/// The design size is measured divided by each of these numbers.
const DIVISORS: [usize; 4] = [27, 9, 3, 1];

/// The smallest valid configuration with the services of the design size: each
/// service has two targets and a route.
const MINIMAL_SIZE: ConfigurationSize = ConfigurationSize {
    services: 340,
    targets: 680,
    routes: 340,
    tenants: 340,
};

/// The size at which a note is complete and the next one begins. A value at the
/// platform is limited to 1 MB, and JSON escapes each newline of a note.
const FULL_NOTE_BYTES: usize = 700_000;

/// The number of changes of a target whose propagation is timed at each size.
const CHANGE_COUNT: usize = 5;

/// How long the idle daemon is measured at each size.
const IDLE_TIME: Duration = Duration::from_secs(8);

/// The interval at which the daemon is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long to wait for a note before the measurement fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The number of entities of each kind.
#[derive(Clone, Copy, Debug)]
struct ConfigurationSize {
    services: usize,
    targets: usize,
    routes: usize,
    tenants: usize,
}

impl ConfigurationSize {
    fn divided_by(self, divisor: usize) -> Self {
        Self {
            services: self.services.div_ceil(divisor),
            targets: self.targets / divisor,
            routes: self.routes / divisor,
            tenants: self.tenants / divisor,
        }
    }
}

/// Prints the resources that one daemon uses by size of the configuration.
pub(crate) fn run(daemon: &Path) -> Result<(), Box<dyn Error>> {
    println!(
        "| services | targets | routes | tenants | notes | all notes applied, s | control CPU for \
         them, s | one change in force, median s | slowest s | control CPU for one change, ms | \
         idle control CPU % | idle CPU % | resident MB | peak MB |"
    );
    println!("|{}", " --- |".repeat(14));
    for divisor in DIVISORS {
        measure(daemon, DESIGN_SIZE.divided_by(divisor))?;
    }
    // The minimal size, and then one kind of entity at its design size at a
    // time, to measure the cost of each.
    let one_kind_full = [
        MINIMAL_SIZE,
        ConfigurationSize {
            targets: DESIGN_SIZE.targets,
            ..MINIMAL_SIZE
        },
        ConfigurationSize {
            routes: DESIGN_SIZE.routes,
            ..MINIMAL_SIZE
        },
        ConfigurationSize {
            tenants: DESIGN_SIZE.tenants,
            ..MINIMAL_SIZE
        },
    ];
    for size in one_kind_full {
        measure(daemon, size)?;
    }
    Ok(())
}

fn measure(daemon: &Path, size: ConfigurationSize) -> Result<(), Box<dyn Error>> {
    let options = FleetOptions {
        daemons: 1,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start_without_note(daemon, options)?;
    wait_until(&fleet.daemons[0], |_| true)?;
    let texts = build_notes(size);
    let before = sample::read(&fleet.daemons[0]).unwrap_or_default();
    // The release itself takes time, since the writer validates the notes as
    // the operators' tool does. Only the time after the release is counted.
    let mut applied = Duration::ZERO;
    for text in &texts {
        let number = fleet.notes.release(text)?;
        let started = Instant::now();
        wait_for_note(&fleet.daemons[0], number)?;
        applied += started.elapsed();
    }
    let loaded = sample::read(&fleet.daemons[0]).unwrap_or_default();
    let mut times_s = Vec::new();
    for change in 0..CHANGE_COUNT {
        let slots = 5 + change;
        let text = format!("[target target-0]\naction = change\nslots = {slots}\n");
        let number = fleet.notes.release(&text)?;
        let started = Instant::now();
        wait_for_note(&fleet.daemons[0], number)?;
        times_s.push(started.elapsed().as_secs_f64());
    }
    let changed = sample::read(&fleet.daemons[0]).unwrap_or_default();
    thread::sleep(IDLE_TIME);
    let idle = sample::read(&fleet.daemons[0]).unwrap_or_default();
    fleet.close()?;

    times_s.sort_unstable_by(f64::total_cmp);
    let percent = |after: u64, before: u64| {
        after.saturating_sub(before) as f64 / IDLE_TIME.as_secs_f64() / 10.0
    };
    println!(
        "| {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {} | {:.2} | {:.2} | {:.1} | {:.1} |",
        size.services,
        size.targets,
        size.routes,
        size.tenants,
        texts.len(),
        applied.as_secs_f64(),
        loaded
            .control_cpu_ms
            .0
            .saturating_sub(before.control_cpu_ms.0) as f64
            / 1e3,
        times_s[CHANGE_COUNT / 2],
        times_s[CHANGE_COUNT - 1],
        changed
            .control_cpu_ms
            .0
            .saturating_sub(loaded.control_cpu_ms.0)
            / CHANGE_COUNT as u64,
        percent(idle.control_cpu_ms.0, changed.control_cpu_ms.0),
        percent(idle.cpu_ms.0, changed.cpu_ms.0),
        sample::megabytes(idle.resident_bytes),
        sample::megabytes(idle.peak_bytes),
    );
    Ok(())
}

fn wait_for_note(daemon: &DaemonProcess, number: NoteNumber) -> Result<(), Box<dyn Error>> {
    wait_until(daemon, |head| head >= number.0)
}

/// Polls the daemon until `holds` returns true for the number of its note in
/// force, which is 0 if there is none.
fn wait_until(daemon: &DaemonProcess, holds: impl Fn(u64) -> bool) -> Result<(), Box<dyn Error>> {
    let until = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < until {
        if let Some(status) = daemon.status()
            && holds(status.head.map_or(0, |head| head.number))
        {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err("timed out waiting for the daemon to apply a note".into())
}

/// Returns the texts of notes that together create a configuration of this
/// size.
fn build_notes(size: ConfigurationSize) -> Vec<String> {
    let mut notes = Vec::new();
    let mut text = String::new();
    for service in 0..size.services {
        push_service(&mut text, size, service);
        push_full_note(&mut text, &mut notes);
    }
    for tenant in 0..size.tenants {
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "[tenant tenant-{tenant}]\nrate_per_s = 100\nburst = 200\n\n"
        );
        push_full_note(&mut text, &mut notes);
    }
    if !text.is_empty() {
        notes.push(text);
    }
    notes
}

fn push_full_note(text: &mut String, notes: &mut Vec<String>) {
    if text.len() >= FULL_NOTE_BYTES {
        notes.push(std::mem::take(text));
    }
}

/// Appends a service with its targets and routes. They must be in the same
/// note, since a service without targets is refused.
fn push_service(text: &mut String, size: ConfigurationSize, service: usize) {
    // Writing to a string does not fail.
    let _ = write!(
        text,
        "[service service-{service}]\nfloor = 2\nclass = normal\nprofile = detection-first\n\n"
    );
    for target in (service..size.targets).step_by(size.services) {
        let _ = write!(
            text,
            "[target target-{target}]\nservice = service-{service}\n\
             address = 127.{}.{}.{}:8080\nfailure_domain = domain-{}\nslots = 4\n\n",
            target / 65_536 + 200,
            target / 256 % 256,
            target % 256,
            target % 7,
        );
    }
    for route in (service..size.routes).step_by(size.services) {
        let _ = write!(
            text,
            "[route route-{route}]\nservice = service-{service}\npath_prefix = /route-{route}\n\n"
        );
    }
}
