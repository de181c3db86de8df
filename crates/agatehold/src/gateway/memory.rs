//! The account of the memory that the daemon holds for callers and targets: bodies of
//! requests, bodies of responses that are being read, and responses that are not yet
//! written to their callers.

use std::cell::Cell;
use std::rc::Rc;

/// The limit on the bodies of requests that have not ended, without the memory of the
/// host in the settings. A body takes up to twice its size while it grows. The smallest
/// hosts have 160 MB.
const REQUEST_BYTES_MAX: usize = 32 * 1024 * 1024;

/// The limit on the responses that are being read, on hosts where it is more than a
/// quarter of the total. Targets can send without end.
const READ_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The size up to which a body is kept even if a limit is exceeded, as long as the total
/// is below [`MemoryLimits::hard_bytes`].
const GUARANTEED_BYTES: usize = 128 * 1024;

/// The part of the host's memory that bodies may take: one of so many. A body that
/// grows takes up to twice its size, and the process needs memory for the fleet's
/// tables, for connections and for its log.
const HOST_PARTS: usize = 4;

/// The part of the total that one caller connection may take: one of so many.
const CONNECTION_PARTS: usize = 8;

/// The largest size of a host that is assumed without a setting: other processes may run
/// on larger hosts.
const ASSUMED_MEMORY_MB_MAX: u32 = 256;

/// Returns the memory of this host to use if the settings don't state it: what the kernel
/// reports, at most [`ASSUMED_MEMORY_MB_MAX`]; `None` if it reports none.
pub(super) fn host_memory_mb() -> Option<u32> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix("MemTotal:"))?;
    let total_kb: u64 = value.trim().strip_suffix("kB")?.trim().parse().ok()?;
    let total_mb = u32::try_from(total_kb / 1024).unwrap_or(u32::MAX);
    Some(total_mb.min(ASSUMED_MEMORY_MB_MAX))
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemoryKind {
    /// The body of a request that has not ended.
    Request,
    /// The body of a response that is being read, or that is expected.
    Read,
    /// A response that is not yet written to its caller.
    Unwritten,
}

impl MemoryKind {
    /// All kinds, in the order of their counters.
    pub(super) const ALL: [Self; 3] = [Self::Request, Self::Read, Self::Unwritten];

    /// Returns the name for metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Read => "read",
            Self::Unwritten => "unwritten",
        }
    }
}

/// The limits of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MemoryLimits {
    /// The limit of each kind, in the order of [`MemoryKind::ALL`].
    kind_bytes: [usize; 3],
    /// The limit for all kinds together.
    total_bytes: usize,
    /// The total beyond which small bodies are no longer kept either.
    hard_bytes: usize,
    /// The limit for one caller connection.
    connection_bytes: usize,
}

impl MemoryLimits {
    /// Returns the limits for a host with `memory_mb` of memory. If that is not known,
    /// bodies of requests and responses that are being read have fixed limits, and there
    /// is no limit for connections.
    pub(super) const fn of_host(memory_mb: Option<u32>) -> Self {
        let Some(memory_mb) = memory_mb else {
            return Self {
                kind_bytes: [REQUEST_BYTES_MAX, READ_BYTES_MAX, usize::MAX],
                total_bytes: usize::MAX,
                hard_bytes: usize::MAX,
                connection_bytes: usize::MAX,
            };
        };
        let total_bytes = memory_mb as usize * 1024 * 1024 / HOST_PARTS;
        let read_bytes = if total_bytes / 4 > READ_BYTES_MAX {
            total_bytes / 4
        } else {
            READ_BYTES_MAX
        };
        Self {
            // Uploads must leave room for the responses to requests that have run.
            kind_bytes: [total_bytes / 2, read_bytes, total_bytes],
            total_bytes,
            hard_bytes: total_bytes + total_bytes / 2,
            connection_bytes: total_bytes / CONNECTION_PARTS,
        }
    }

    /// Returns whether responses are counted by the size that is expected of them, before
    /// they are read.
    pub(super) const fn reserves_responses(&self) -> bool {
        self.total_bytes < usize::MAX
    }
}

/// The memory held by kind.
#[derive(Debug)]
struct Counters {
    limits: MemoryLimits,
    kinds: [Cell<usize>; 3],
}

impl Counters {
    fn total(&self) -> usize {
        self.kinds.iter().map(Cell::get).sum()
    }
}

/// The account of the daemon.
#[derive(Clone, Debug)]
pub(super) struct MemoryAccount {
    counters: Rc<Counters>,
}

impl MemoryAccount {
    /// Creates an empty account.
    pub(super) fn new(limits: MemoryLimits) -> Self {
        Self {
            counters: Rc::new(Counters {
                limits,
                kinds: Default::default(),
            }),
        }
    }

    /// Opens the account of a caller connection.
    pub(super) fn open_connection(&self) -> ConnectionMemory {
        ConnectionMemory {
            counters: Rc::clone(&self.counters),
            held_bytes: Rc::default(),
        }
    }

    /// Returns the limits.
    pub(super) fn limits(&self) -> MemoryLimits {
        self.counters.limits
    }

    /// Returns the memory held for a kind.
    pub(super) fn held_bytes(&self, kind: MemoryKind) -> usize {
        self.counters.kinds[kind as usize].get()
    }
}

/// The account of a caller connection, which is a part of the daemon's account.
#[derive(Clone, Debug)]
pub(super) struct ConnectionMemory {
    counters: Rc<Counters>,
    held_bytes: Rc<Cell<usize>>,
}

impl ConnectionMemory {
    /// Starts to hold memory for something whose size is 0 so far.
    pub(super) fn hold(&self, kind: MemoryKind) -> MemoryHold {
        MemoryHold {
            connection: self.clone(),
            kind: Cell::new(kind),
            size_bytes: Cell::new(0),
        }
    }

    /// Returns whether the connection stays within its limit with `more_bytes` more.
    pub(super) fn has_room_for(&self, more_bytes: usize) -> bool {
        let held_bytes = self.held_bytes.get();
        held_bytes.saturating_add(more_bytes) <= self.counters.limits.connection_bytes
    }
}

/// The memory held for one body. It is given back on drop, also when the task that
/// holds it is cancelled.
#[derive(Debug)]
pub(super) struct MemoryHold {
    connection: ConnectionMemory,
    kind: Cell<MemoryKind>,
    size_bytes: Cell<usize>,
}

impl MemoryHold {
    /// Sets the size; returns whether it is within the limits. A body without others
    /// beside it may exceed them.
    #[must_use]
    pub(super) fn resize(&self, size_bytes: usize) -> bool {
        self.set(self.kind.get(), size_bytes);
        let counters = &self.connection.counters;
        let limits = &counters.limits;
        let kind = self.kind.get() as usize;
        let of_kind_bytes = counters.kinds[kind].get();
        let total_bytes = counters.total();
        let is_within =
            of_kind_bytes <= limits.kind_bytes[kind] && total_bytes <= limits.total_bytes;
        // Without a limit for the total, a body is alone if there is no other of its kind.
        let others_bytes = match limits.reserves_responses() {
            true => total_bytes - size_bytes,
            false => of_kind_bytes - size_bytes,
        };
        is_within
            || (size_bytes <= GUARANTEED_BYTES && total_bytes <= limits.hard_bytes)
            || others_bytes <= GUARANTEED_BYTES
    }

    /// Starts to hold memory for a further response of the same caller connection.
    pub(super) fn hold_beside(&self) -> Self {
        self.connection.hold(MemoryKind::Read)
    }

    /// Returns the size.
    pub(super) fn size_bytes(&self) -> usize {
        self.size_bytes.get()
    }

    /// Holds the memory for another kind and size from now on. What was read is kept,
    /// whatever the limits.
    pub(super) fn change(&self, kind: MemoryKind, size_bytes: usize) {
        self.set(kind, size_bytes);
    }

    fn set(&self, kind: MemoryKind, size_bytes: usize) {
        let old_bytes = self.size_bytes.replace(size_bytes);
        let kinds = &self.connection.counters.kinds;
        let old_kind = &kinds[self.kind.replace(kind) as usize];
        old_kind.set(old_kind.get() - old_bytes);
        let new_kind = &kinds[kind as usize];
        new_kind.set(new_kind.get() + size_bytes);
        let connection_bytes = &self.connection.held_bytes;
        connection_bytes.set(connection_bytes.get() - old_bytes + size_bytes);
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.set(self.kind.get(), 0);
    }
}
