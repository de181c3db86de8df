//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file that the variable `RECORD` names, or `record.txt`.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).expect("the record can't be created");
        Self {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Returns the seconds since the start.
    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn line(&self, text: &str) {
        let seconds = self.at(Instant::now());
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{seconds:8.3} {text}");
        let _ = file.flush();
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.at(Instant::now()));
        self.line(text);
    }
}
