//! The state of a caller, owned by one thread.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;

use agatehold_core::table::Table;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::addresses::AddressAnswer;

use crate::history::CallRecord;

use super::CallerOptions;

/// An event for the owner of the tables.
#[derive(Debug)]
pub(super) enum Event {
    /// An attempt has ended.
    Ended {
        number: u64,
        result: SendResult,
        total_us: u64,
    },
    /// A daemon answered with addresses, or did not.
    Addresses(Option<AddressAnswer>),
    /// No new request is to start.
    Stop,
}

/// An order to the traffic thread.
#[derive(Debug)]
pub(super) enum Command {
    /// Sends an attempt.
    Send {
        number: u64,
        address: SocketAddr,
        request: Box<Request<Bytes>>,
    },
    /// Asks a daemon for addresses.
    AskAddresses { daemon: SocketAddr },
}

/// How sending ended.
#[derive(Debug)]
pub(super) enum SendResult {
    /// A whole response.
    Response(StatusCode, HeaderMap, Bytes),
    /// No address was known, or the request can't be written as HTTP.
    NotSent,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The connection ended before the whole response.
    Lost,
    /// The response did not come in time.
    TimedOut,
}

/// The addresses that the caller uses.
#[derive(Debug)]
pub(super) struct AddressBook {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) key_prefix: Option<Box<str>>,
    /// When they are to be asked for again.
    pub(super) ask_at: TimeMs,
    pub(super) is_asking: bool,
    /// The number of address requests, by which daemons are asked in turn.
    pub(super) asked: usize,
    /// The number of attempts, by which addresses are used in turn.
    pub(super) used: usize,
}

/// A request that is not done.
#[derive(Debug)]
pub(super) struct RequestRow {
    /// The attempt in flight or due, from 1.
    pub(super) attempt: u32,
    /// When the attempt is due; in flight if absent.
    pub(super) due_at: Option<TimeMs>,
    pub(super) sent_at: TimeMs,
    pub(super) address: SocketAddr,
    pub(super) key: Option<Box<str>>,
    /// Whether an attempt with the key may have run; then the key stays.
    pub(super) is_key_bound: bool,
    pub(super) path: Box<str>,
    pub(super) body: Bytes,
}

/// The tables of a caller.
#[derive(Debug)]
pub(super) struct Tables {
    pub(super) options: CallerOptions,
    pub(super) book: AddressBook,
    pub(super) requests: Table<u64, RequestRow>,
    pub(super) records: Vec<CallRecord>,
    pub(super) started: u64,
    pub(super) started_at: TimeMs,
    pub(super) is_stopped: bool,
}

/// The pause before another daemon is asked for addresses.
pub(super) const ASK_PAUSE: DurationMs = DurationMs(100);
