//! Writes log lines to standard output from a dedicated thread.

use std::io;
use std::io::Write;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;

/// The maximum number of lines that wait to be written: 1 MB at 250 bytes per
/// line.
const QUEUE_CAPACITY_LINES: usize = 4_096;

/// The delay before a write, during which further lines are collected. Writing
/// each line by itself would wake the thread once per line.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// The timeout of a flush: the batch delay and time for the write. A flush is the last step
/// of a planned stop, which has 400 ms for all of them at the end of its time limit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

enum Message {
    Line(Vec<u8>),
    Flush(Sender<()>),
}

/// Sends complete lines to the writer thread and drops them while its queue is
/// full.
pub(super) struct LineWriter {
    line: Vec<u8>,
    messages: Sender<Message>,
    /// The number of lines dropped since a line was last queued.
    dropped: u64,
}

/// Starts the writer thread.
pub(super) fn start() -> LineWriter {
    let (messages, messages_receiver) = bounded(QUEUE_CAPACITY_LINES);
    let spawned = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&messages_receiver));
    if let Err(error) = spawned {
        eprintln!("agatehold: starting the log thread failed: {error}");
    }
    LineWriter {
        line: Vec::new(),
        messages,
        dropped: 0,
    }
}

fn write_lines(messages: &Receiver<Message>) {
    let mut out = io::stdout();
    let mut batch = Vec::new();
    while let Ok(message) = messages.recv() {
        let mut flush_reply = append_to_batch(message, &mut batch);
        if flush_reply.is_none() {
            std::thread::sleep(BATCH_DELAY);
        }
        for message in messages.try_iter() {
            flush_reply = append_to_batch(message, &mut batch).or(flush_reply);
        }
        // If standard output is closed, there is nowhere to report the error.
        let _ = out.write_all(&batch);
        let _ = out.flush();
        batch.clear();
        if let Some(flushed) = flush_reply {
            // The send fails if the flush has already timed out.
            let _ = flushed.try_send(());
        }
    }
}

/// Appends a line to the batch, or returns the reply channel of a flush.
fn append_to_batch(message: Message, batch: &mut Vec<u8>) -> Option<Sender<()>> {
    match message {
        Message::Line(line) => {
            batch.extend_from_slice(&line);
            None
        }
        Message::Flush(flushed) => Some(flushed),
    }
}

impl LineWriter {
    fn send(&mut self, mut line: Vec<u8>) {
        if self.dropped > 0 {
            let notice = format!("event=lines_dropped count={}\n", self.dropped);
            line.extend_from_slice(notice.as_bytes());
        }
        match self.messages.try_send(Message::Line(line)) {
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
        let (flushed, flushed_receiver) = bounded(1);
        if self.messages.try_send(Message::Flush(flushed)).is_ok() {
            // On a timeout, the lines may stay unwritten.
            let _ = flushed_receiver.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}
