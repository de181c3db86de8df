//! Starts the threads of a caller.

use std::io;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use tokio::runtime::Builder;
use tokio::sync::mpsc;

use agatehold_core::table::Table;
use agatehold_core::units::TimeMs;

use crate::common::unix_now;
use crate::history::CallRecord;

use super::CallerOptions;
use super::KeyMode;
use super::systems;
use super::tables::AddressBook;
use super::tables::Command;
use super::tables::Event;
use super::tables::Tables;
use super::traffic;

/// A running caller.
#[derive(Debug)]
pub struct RunningCaller {
    events: Sender<Event>,
    state_thread: JoinHandle<Vec<CallRecord>>,
    traffic_thread: JoinHandle<()>,
}

impl RunningCaller {
    /// Tells the caller to start no further requests.
    pub fn stop(&self) {
        // The send fails if the caller has ended already.
        let _ = self.events.send(Event::Stop);
    }

    /// Waits until all requests have ended and returns the records of all
    /// attempts.
    pub fn join(self) -> Vec<CallRecord> {
        let records = self.state_thread.join().unwrap_or_default();
        let _ = self.traffic_thread.join();
        records
    }
}

/// Starts the threads of a caller.
pub fn start(options: CallerOptions) -> io::Result<RunningCaller> {
    check_options(&options)?;
    let (events, inbox) = unbounded();
    let (commands, command_inbox) = mpsc::unbounded_channel();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let traffic_options = options.clone();
    let traffic_events = events.clone();
    let traffic_thread = thread::Builder::new()
        .name("caller-traffic".to_owned())
        .spawn(move || {
            runtime.block_on(traffic::run(
                &traffic_options,
                command_inbox,
                traffic_events,
            ));
        })?;
    let state_thread = thread::Builder::new()
        .name("caller-state".to_owned())
        .spawn(move || run_state(new_tables(options), &inbox, &commands))?;
    Ok(RunningCaller {
        events,
        state_thread,
        traffic_thread,
    })
}

/// Rejects options with which a caller could never send a request.
fn check_options(options: &CallerOptions) -> io::Result<()> {
    let invalid = |text| Err(io::Error::new(io::ErrorKind::InvalidInput, text));
    if options.daemons.is_empty() {
        return invalid("a caller needs the address of at least one daemon");
    }
    if !options.fetches_addresses && options.shape.keys == KeyMode::Prefix {
        return invalid(
            "keys from a prefix need address responses, which this caller doesn't request",
        );
    }
    Ok(())
}

fn new_tables(options: CallerOptions) -> Tables {
    let addresses = if options.fetches_addresses {
        Vec::new()
    } else {
        options.daemons.clone()
    };
    Tables {
        options,
        book: AddressBook {
            addresses,
            key_prefix: None,
            fetch_at: TimeMs(0),
            is_fetching: false,
            fetch_count: 0,
            attempt_count: 0,
        },
        requests: Table::new(),
        records: Vec::new(),
        started: 0,
        started_at: unix_now(),
        is_stopped: false,
    }
}

/// Runs the systems at each event and deadline until all requests have ended
/// and no more are due.
fn run_state(
    mut tables: Tables,
    inbox: &Receiver<Event>,
    commands: &mpsc::UnboundedSender<Command>,
) -> Vec<CallRecord> {
    let mut event = None;
    loop {
        let now = unix_now();
        for command in systems::tick(&mut tables, now, event.take()) {
            // The traffic thread receives commands until this thread ends.
            let _ = commands.send(command);
        }
        if systems::is_done(&tables, now) {
            return tables.records;
        }
        let received = match systems::next_deadline(&tables, now) {
            Some(deadline) => {
                let wait = deadline.since(unix_now());
                inbox.recv_timeout(Duration::from_millis(wait.0))
            }
            None => inbox.recv().map_err(RecvTimeoutError::from),
        };
        match received {
            Ok(received) => event = Some(received),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return tables.records,
        }
    }
}
