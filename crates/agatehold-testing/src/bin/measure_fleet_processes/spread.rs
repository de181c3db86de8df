//! Measures the time from the release of a note until it is in force on every
//! daemon.

use std::error::Error;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use agatehold_core::ids::NoteNumber;
use agatehold_testing::fleet::DaemonProcess;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;

const FLEET_SIZES: [usize; 3] = [12, 36, 48];

/// The number of notes that are released at each size of the fleet.
const NOTE_COUNT: u32 = 8;

/// The delay between two notes, so that the fleet is idle at each release. It
/// is not a multiple of any period of the daemons.
const NOTE_INTERVAL: Duration = Duration::from_millis(1_730);

/// How long the daemons run before the first measured note.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// The interval at which the daemons without the note are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long to wait for a note before the measurement fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Prints the spread times by size of the fleet.
pub(crate) fn run(daemon: &Path) -> Result<(), Box<dyn Error>> {
    println!("| daemons | notes | fastest s | median s | slowest s |");
    println!("| --- | --- | --- | --- | --- |");
    for daemons in FLEET_SIZES {
        let options = FleetOptions {
            daemons,
            ..FleetOptions::default()
        };
        let mut fleet = Fleet::start(daemon, options)?;
        thread::sleep(SETTLE_TIME);
        let mut times_s = Vec::new();
        for number in 0..NOTE_COUNT {
            let limit = 100 + number;
            let note = format!("[service certificates]\naction = change\nqueue_limit = {limit}\n");
            let started = Instant::now();
            let number = fleet.notes.release(&note)?;
            wait_for_note(&fleet.daemons, number)?;
            times_s.push(started.elapsed().as_secs_f64());
            thread::sleep(NOTE_INTERVAL);
        }
        fleet.close()?;
        times_s.sort_unstable_by(f64::total_cmp);
        println!(
            "| {daemons} | {NOTE_COUNT} | {:.2} | {:.2} | {:.2} |",
            times_s[0],
            times_s[times_s.len() / 2],
            times_s[times_s.len() - 1]
        );
    }
    Ok(())
}

/// Waits until every daemon has the note in force.
fn wait_for_note(daemons: &[DaemonProcess], number: NoteNumber) -> Result<(), Box<dyn Error>> {
    let until = Instant::now() + WAIT_TIMEOUT;
    let mut missing: Vec<&DaemonProcess> = daemons.iter().collect();
    while Instant::now() < until {
        missing.retain(|daemon| {
            let head = daemon.status().and_then(|status| status.head);
            head.is_none_or(|head| head.number < number.0)
        });
        if missing.is_empty() {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(format!(
        "note {number} is not in force on {} daemons after {WAIT_TIMEOUT:?}",
        missing.len()
    )
    .into())
}
