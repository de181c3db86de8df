//! Writes log lines to standard output by a thread of its own.

use std::io;
use std::io::Write;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;

/// The lines that wait to be written. At 250 bytes a line they are 1 MB.
const LINES_LENGTH: usize = 4_096;

/// The pause between two writes, in which lines gather: a write for each line
/// would cost a wake-up each.
const GATHER: Duration = Duration::from_millis(100);

/// How long a flush waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

enum Part {
    Line(Vec<u8>),
    Flush(Sender<()>),
}

/// Hands whole lines to the writing thread and drops them when it is behind.
pub(super) struct LineWriter {
    line: Vec<u8>,
    parts: Sender<Part>,
    /// Lines that were dropped since the last one that was not.
    dropped: u64,
}

/// Starts the writing thread.
pub(super) fn start() -> LineWriter {
    let (parts, parts_seen) = bounded(LINES_LENGTH);
    let spawned = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&parts_seen));
    if let Err(error) = spawned {
        eprintln!("agatehold: starting the log thread failed: {error}");
    }
    LineWriter {
        line: Vec::new(),
        parts,
        dropped: 0,
    }
}

fn write_lines(parts: &Receiver<Part>) {
    let mut out = io::stdout();
    let mut batch = Vec::new();
    while let Ok(part) = parts.recv() {
        let mut waiting = take(part, &mut batch);
        if waiting.is_none() {
            std::thread::sleep(GATHER);
        }
        for part in parts.try_iter() {
            waiting = take(part, &mut batch).or(waiting);
        }
        // A reader that is gone leaves nowhere to report it.
        let _ = out.write_all(&batch);
        let _ = out.flush();
        batch.clear();
        if let Some(done) = waiting {
            // The flush may have timed out.
            let _ = done.try_send(());
        }
    }
}

/// Adds a line to the batch, or returns who waits for the batch.
fn take(part: Part, batch: &mut Vec<u8>) -> Option<Sender<()>> {
    match part {
        Part::Line(line) => {
            batch.extend_from_slice(&line);
            None
        }
        Part::Flush(done) => Some(done),
    }
}

impl LineWriter {
    fn send(&mut self, mut line: Vec<u8>) {
        if self.dropped > 0 {
            let note = format!("event=lines_dropped count={}\n", self.dropped);
            line.extend_from_slice(note.as_bytes());
        }
        match self.parts.try_send(Part::Line(line)) {
            Ok(()) => self.dropped = 0,
            Err(_) => {
                self.dropped += 1;
                metrics::counter!("agatehold_log_lines_dropped_total").increment(1);
            }
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            self.send(line);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (done, done_seen) = bounded(1);
        if self.parts.try_send(Part::Flush(done)).is_ok() {
            // Lines that can't be written in time are given up.
            let _ = done_seen.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}
