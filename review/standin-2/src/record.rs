//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        writeln!(file, "{:9.3} s  {text}", self.now()).expect("a written record");
    }
}
