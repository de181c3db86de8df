//! The time from the release of a note until every daemon has it in force.

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

/// The notes that are released at each size.
const NOTES: u32 = 8;

/// The pause between two notes, so that each starts from a quiet fleet. It is
/// no multiple of any period of the daemons.
const NOTE_PAUSE: Duration = Duration::from_millis(1_730);

/// How long the first daemons run before the first note.
const SETTLE: Duration = Duration::from_secs(8);

/// The pause between two rounds over the daemons that lack the note.
const POLL_PAUSE: Duration = Duration::from_millis(10);

/// How long a note is waited for.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

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
        thread::sleep(SETTLE);
        let mut times_s = Vec::new();
        for number in 0..NOTES {
            let limit = 100 + number;
            let note = format!("[service certificates]\naction = change\nqueue_limit = {limit}\n");
            let started = Instant::now();
            let number = fleet.notes.release(&note)?;
            wait_for(&fleet.daemons, number)?;
            times_s.push(started.elapsed().as_secs_f64());
            thread::sleep(NOTE_PAUSE);
        }
        fleet.close()?;
        times_s.sort_unstable_by(f64::total_cmp);
        println!(
            "| {daemons} | {NOTES} | {:.2} | {:.2} | {:.2} |",
            times_s[0],
            times_s[times_s.len() / 2],
            times_s[times_s.len() - 1]
        );
    }
    Ok(())
}

/// Waits until every daemon has the note in force.
fn wait_for(daemons: &[DaemonProcess], number: NoteNumber) -> Result<(), Box<dyn Error>> {
    let until = Instant::now() + WAIT_LIMIT;
    let mut missing: Vec<&DaemonProcess> = daemons.iter().collect();
    while Instant::now() < until {
        missing.retain(|daemon| {
            let head = daemon.status().and_then(|status| status.head);
            head.is_none_or(|head| head.number < number.0)
        });
        if missing.is_empty() {
            return Ok(());
        }
        thread::sleep(POLL_PAUSE);
    }
    Err(format!("{} daemons lack note {number}", missing.len()).into())
}
