//! The state of a caller, owned by its state thread.

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

/// An event for the state thread.
#[derive(Debug)]
pub(super) enum Event {
    /// An attempt has ended.
    Ended {
        number: u64,
        result: SendResult,
        total_us: u64,
    },
    /// The address response of a daemon; `None` if the request for it failed.
    Addresses(Option<AddressAnswer>),
    /// The caller must start no further requests.
    Stop,
}

/// A command to the traffic thread.
#[derive(Debug)]
pub(super) enum Command {
    /// Sends an attempt.
    Send {
        number: u64,
        address: SocketAddr,
        request: Box<Request<Bytes>>,
    },
    /// Requests addresses from a daemon.
    FetchAddresses { daemon: SocketAddr },
}

/// The result of sending a request.
#[derive(Debug)]
pub(super) enum SendResult {
    /// A complete response.
    Response(StatusCode, HeaderMap, Bytes),
    /// Nothing was sent: no address was known, or the request can't be encoded
    /// as HTTP.
    NotSent,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The connection closed before the response was complete.
    Lost,
    /// The response was not complete before the response timeout.
    TimedOut,
}

/// The addresses and the key prefix of the last address response.
#[derive(Debug)]
pub(super) struct AddressBook {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) key_prefix: Option<Box<str>>,
    /// When the addresses are requested again.
    pub(super) fetch_at: TimeMs,
    /// Whether a request for addresses is in flight.
    pub(super) is_fetching: bool,
    /// The number of requests for addresses, for round robin over the daemons.
    pub(super) fetch_count: usize,
    /// The number of attempts sent, for round robin over the addresses.
    pub(super) attempt_count: usize,
}

/// A request that has not ended.
#[derive(Debug)]
pub(super) struct RequestRow {
    /// The number of the attempt that is in flight or due next, from 1.
    pub(super) attempt: u32,
    /// When the next attempt is due; `None` while an attempt is in flight.
    pub(super) due_at: Option<TimeMs>,
    pub(super) sent_at: TimeMs,
    pub(super) address: SocketAddr,
    pub(super) key: Option<Box<str>>,
    /// Whether an attempt with this key may have run. Retries then use the same
    /// key.
    pub(super) must_keep_key: bool,
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
    /// The number of requests started so far.
    pub(super) started: u64,
    pub(super) started_at: TimeMs,
    pub(super) is_stopped: bool,
}

/// The minimum delay before addresses are requested again, unless a refusal
/// triggers the request.
pub(super) const MIN_FETCH_DELAY: DurationMs = DurationMs(100);
