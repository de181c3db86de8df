//! Runs one measurement of a simulated fleet and prints its results as Markdown
//! tables.

use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;

use agatehold_measure_fleet::measure;

const HELP: &str = "\
Usage: agatehold-measure-fleet MEASUREMENT

Runs a measurement and prints its results as Markdown tables. Seeds are fixed.

Measurements:
  peer-bytes         bytes per second between daemons
  note-spread        time until a release note is in force on all daemons
  platform-calls     platform calls per second while no note is released
  entry-shares       load of the busiest daemon relative to the mean
  detection-of-loss  time until address answers omit a killed host
  table-memory       memory of the tables by size of the configuration or fleet
  note-apply         time to apply a note by size of the configuration
  tick-cost          CPU time of a tick and of gossip by number of daemons";

fn main() -> ExitCode {
    let mut parser = Parser::from_env();
    let name = match parser.next() {
        Ok(Some(Arg::Value(name))) => name.to_string_lossy().into_owned(),
        Ok(Some(Arg::Long("help") | Arg::Short('h'))) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        _ => {
            eprintln!("{HELP}");
            return ExitCode::from(2);
        }
    };
    match name.as_str() {
        "peer-bytes" => measure::peer_bytes(),
        "note-spread" => measure::note_spread(),
        "platform-calls" => measure::platform_calls(),
        "entry-shares" => measure::entry_shares(),
        "detection-of-loss" => measure::detection_of_loss(),
        "table-memory" => measure::table_memory(),
        "note-apply" => measure::note_apply(),
        "tick-cost" => measure::tick_cost(),
        _ => {
            eprintln!("unknown measurement {name}\n\n{HELP}");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
