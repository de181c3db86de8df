//! Writes log lines to standard output from a dedicated thread.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;

/// The maximum number of lines that wait to be written, in the queue and in the batch that
/// is being written: 1 MB at 250 bytes per line.
const WAITING_LINES_MAX: usize = 4_096;

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

/// Sends complete lines to the writer thread and drops them while too many wait.
pub(super) struct LineWriter {
    line: Vec<u8>,
    messages: Sender<Message>,
    /// The number of lines in the queue and in the batch; never more than
    /// [`WAITING_LINES_MAX`], since only this writer adds to it.
    waiting_lines: Arc<AtomicUsize>,
    /// The number of lines dropped since a line was last queued.
    dropped: u64,
}

/// Starts the writer thread.
pub(super) fn start() -> LineWriter {
    let (messages, messages_receiver) = bounded(WAITING_LINES_MAX);
    let waiting_lines = Arc::new(AtomicUsize::new(0));
    let waiting = Arc::clone(&waiting_lines);
    let spawned = std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&messages_receiver, &waiting));
    if let Err(error) = spawned {
        eprintln!("agatehold: starting the log thread failed: {error}");
    }
    LineWriter {
        line: Vec::new(),
        messages,
        waiting_lines,
        dropped: 0,
    }
}

/// The lines that are written together.
#[derive(Default)]
struct Batch {
    bytes: Vec<u8>,
    lines: usize,
}

impl Batch {
    /// Appends a line, or returns the reply channel of a flush.
    fn append(&mut self, message: Message) -> Option<Sender<()>> {
        match message {
            Message::Line(line) => {
                self.bytes.extend_from_slice(&line);
                self.lines += 1;
                None
            }
            Message::Flush(flushed) => Some(flushed),
        }
    }
}

fn write_lines(messages: &Receiver<Message>, waiting_lines: &AtomicUsize) {
    let mut out = io::stdout();
    let mut batch = Batch::default();
    while let Ok(message) = messages.recv() {
        let mut flush_reply = batch.append(message);
        if flush_reply.is_none() {
            std::thread::sleep(BATCH_DELAY);
        }
        for message in messages.try_iter() {
            flush_reply = batch.append(message).or(flush_reply);
        }
        // If standard output is closed, there is nowhere to report the error.
        let _ = out.write_all(&batch.bytes);
        let _ = out.flush();
        waiting_lines.fetch_sub(batch.lines, Ordering::Relaxed);
        batch.bytes.clear();
        batch.lines = 0;
        if let Some(flushed) = flush_reply {
            // The send fails if the flush has already timed out.
            let _ = flushed.try_send(());
        }
    }
}

impl LineWriter {
    fn send(&mut self, mut line: Vec<u8>) {
        if self.dropped > 0 {
            let notice = format!("event=lines_dropped count={}\n", self.dropped);
            line.extend_from_slice(notice.as_bytes());
        }
        if self.try_queue(line) {
            self.dropped = 0;
        } else {
            self.dropped += 1;
            metrics::counter!("agatehold_log_lines_dropped_total").increment(1);
        }
    }

    /// Queues a line; returns false if too many wait.
    fn try_queue(&self, line: Vec<u8>) -> bool {
        if self.waiting_lines.load(Ordering::Relaxed) >= WAITING_LINES_MAX {
            return false;
        }
        // Counted first: the writer thread may take the line out at once.
        self.waiting_lines.fetch_add(1, Ordering::Relaxed);
        let is_queued = self.messages.try_send(Message::Line(line)).is_ok();
        if !is_queued {
            self.waiting_lines.fetch_sub(1, Ordering::Relaxed);
        }
        is_queued
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
