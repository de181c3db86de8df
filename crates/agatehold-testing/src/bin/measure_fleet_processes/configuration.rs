//! Memory and control work against the size of the configuration.

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

/// The configuration of the design size.
const FULL: ConfigurationSize = ConfigurationSize {
    services: 340,
    targets: 9_900,
    routes: 3_800,
    tenants: 63_000,
};

/// The parts of the design size that are measured.
const DIVISORS: [usize; 4] = [27, 9, 3, 1];

/// The fewest entities with which the services of the design size are valid:
/// each has two targets and a route.
const LEAST: ConfigurationSize = ConfigurationSize {
    services: 340,
    targets: 680,
    routes: 340,
    tenants: 340,
};

/// The size at which a note is closed and another begun: JSON escapes each
/// line end, and a value of the platform holds 1 MB.
const NOTE_BYTES: usize = 700_000;

/// The changes of one target that are timed at each size.
const CHANGES: usize = 5;

/// How long the daemon idles at each size.
const IDLE: Duration = Duration::from_secs(8);

/// The pause between two looks at the daemon.
const POLL_PAUSE: Duration = Duration::from_millis(10);

/// How long a note is waited for.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

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

/// Prints what one daemon uses by size of the configuration.
pub(crate) fn run(daemon: &Path) -> Result<(), Box<dyn Error>> {
    println!(
        "| services | targets | routes | tenants | notes | all notes applied, s | control CPU for \
         them, s | one change in force, median s | slowest s | control CPU for one change, ms | \
         idle control CPU % | idle CPU % | resident MB | peak MB |"
    );
    println!("|{}", " --- |".repeat(14));
    for divisor in DIVISORS {
        measure(daemon, FULL.divided_by(divisor))?;
    }
    // One kind at a time, to tell what each of them costs.
    let alone = [
        LEAST,
        ConfigurationSize {
            targets: FULL.targets,
            ..LEAST
        },
        ConfigurationSize {
            routes: FULL.routes,
            ..LEAST
        },
        ConfigurationSize {
            tenants: FULL.tenants,
            ..LEAST
        },
    ];
    for size in alone {
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
    let texts = notes(size);
    let before = sample::read(&fleet.daemons[0]).unwrap_or_default();
    // The writer checks the notes as the operators' tool does, which takes
    // time of its own; only what comes after the release is counted.
    let mut applied = Duration::ZERO;
    for text in &texts {
        let number = fleet.notes.release(text)?;
        let started = Instant::now();
        wait_for_note(&fleet.daemons[0], number)?;
        applied += started.elapsed();
    }
    let loaded = sample::read(&fleet.daemons[0]).unwrap_or_default();
    let mut times_s = Vec::new();
    for change in 0..CHANGES {
        let slots = 5 + change;
        let text = format!("[target target-0]\naction = change\nslots = {slots}\n");
        let number = fleet.notes.release(&text)?;
        let started = Instant::now();
        wait_for_note(&fleet.daemons[0], number)?;
        times_s.push(started.elapsed().as_secs_f64());
    }
    let changed = sample::read(&fleet.daemons[0]).unwrap_or_default();
    thread::sleep(IDLE);
    let idle = sample::read(&fleet.daemons[0]).unwrap_or_default();
    fleet.close()?;

    times_s.sort_unstable_by(f64::total_cmp);
    let percent =
        |after: u64, before: u64| after.saturating_sub(before) as f64 / IDLE.as_secs_f64() / 10.0;
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
        times_s[CHANGES / 2],
        times_s[CHANGES - 1],
        changed
            .control_cpu_ms
            .0
            .saturating_sub(loaded.control_cpu_ms.0)
            / CHANGES as u64,
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

/// Waits until the daemon answers with a fitting number of the note in force.
fn wait_until(daemon: &DaemonProcess, holds: impl Fn(u64) -> bool) -> Result<(), Box<dyn Error>> {
    let until = Instant::now() + WAIT_LIMIT;
    while Instant::now() < until {
        if let Some(status) = daemon.status()
            && holds(status.head.map_or(0, |head| head.number))
        {
            return Ok(());
        }
        thread::sleep(POLL_PAUSE);
    }
    Err("the daemon did not take a note".into())
}

/// Returns notes that add up to a configuration.
fn notes(size: ConfigurationSize) -> Vec<String> {
    let mut notes = Vec::new();
    let mut text = String::new();
    for service in 0..size.services {
        push_service(&mut text, size, service);
        close_full(&mut text, &mut notes);
    }
    for tenant in 0..size.tenants {
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "[tenant tenant-{tenant}]\nrate_per_s = 100\nburst = 200\n\n"
        );
        close_full(&mut text, &mut notes);
    }
    if !text.is_empty() {
        notes.push(text);
    }
    notes
}

fn close_full(text: &mut String, notes: &mut Vec<String>) {
    if text.len() >= NOTE_BYTES {
        notes.push(std::mem::take(text));
    }
}

/// Adds a service with its targets and routes, since a service without
/// targets is refused.
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
