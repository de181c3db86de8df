//! Plays one case of the second review against real gateway processes.
//!
//! `review-2-standin CASE RECORD` writes what was sent, answered and run to the file
//! RECORD and exits with 1 if the rule was broken, 0 if it held and 2 if the case could
//! not run. With `TROUBLE=0` in the environment the disruption is left out.

mod broken_off_at_stop;
mod crash_in_answer;
mod deployment;
mod http;
mod lost_answers;
mod record;
mod server;
mod slow_reader;
mod slow_upload;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// The verdict of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(file)) = (words.next(), words.next()) else {
        eprintln!("usage: review-2-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    match play(&case, Path::new(&file), trouble) {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, file: &Path, trouble: bool) -> io::Result<Verdict> {
    deployment::start_watchdog();
    let record = Arc::new(Record::create(file)?);
    match case {
        "broken-off-at-stop" => broken_off_at_stop::play(&record, trouble),
        "slow-reader" => slow_reader::play(&record, trouble),
        "slow-upload" => slow_upload::play(&record, trouble),
        "lost-answers" => lost_answers::play(&record, trouble),
        "crash-in-answer" => crash_in_answer::play(&record, trouble),
        _ => Err(io::Error::other("unknown case")),
    }
}
