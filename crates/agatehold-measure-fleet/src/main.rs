//! Measures the fleet's control work and prints Markdown tables.

use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;

use agatehold_measure_fleet::measure;

const HELP: &str = "\
Usage: agatehold-measure-fleet MEASUREMENT

Prints a Markdown table. Seeds are fixed.

Measurements:
  peer-bytes         bytes a second between daemons
  note-spread        time until a note is in force everywhere
  platform-calls     calls to the platform while idle
  entry-shares       busiest daemon against the mean
  detection-of-loss  time until a killed host leaves address answers
  table-memory       bytes of the tables by size of the configuration
  note-apply         time to apply a note by size of the configuration
  tick-cost          processor time of the systems by number of peers";

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
