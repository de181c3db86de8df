//! The idempotency keys that one daemon process owns.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::ids::Digest;
use crate::ids::Epoch;
use crate::ids::TenantName;
use crate::refusal::RefusalKind;
use crate::table::Table;
use crate::units::ByteCount;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::CLAIM_RETENTION_MS;
use super::ClaimNonce;
use super::ClaimRecord;
use super::IdempotencyKey;
use super::KeyOwner;
use super::KeyPrefix;
use super::KeyState;

/// The bytes that one key takes beside its answer, from the resident size of
/// a table of 300,000 keys (docs/MEASUREMENTS-LOAD.md), rounded up.
const KEY_ROW_BYTES: u64 = 144;

/// The bytes that a stored answer takes beside its headers and body.
const ANSWER_ROW_BYTES: u64 = 128;

/// The bounds of a [`KeyTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLimits {
    /// How long one epoch lasts.
    pub epoch_ms: DurationMs,
    /// How long an epoch's keys are kept after its end.
    pub retention_ms: DurationMs,
    /// The memory for keys and stored answers.
    pub memory_bytes: ByteCount,
    /// The largest answer that is stored.
    pub answer_bytes: ByteCount,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self {
            epoch_ms: DurationMs(10 * 60 * 1_000),
            retention_ms: DurationMs(60 * 60 * 1_000),
            memory_bytes: ByteCount(128 * 1024 * 1024),
            answer_bytes: ByteCount(64 * 1024),
        }
    }
}

/// An answer of a target that is kept for later arrivals of the same key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The HTTP status code.
    pub http_status: u16,
    /// The header fields in order.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// The body.
    pub body: Box<[u8]>,
}

impl StoredAnswer {
    /// Returns the size of the header fields and the body.
    pub fn size(&self) -> ByteCount {
        let mut bytes = self.body.len();
        for (name, value) in &self.headers {
            bytes += name.len() + value.len();
        }
        ByteCount(bytes as u64)
    }
}

/// How a request came to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Arrival {
    /// From a caller.
    Direct,
    /// From another daemon that took this one for the key's owner.
    Forwarded,
}

/// A claim that its holder ends with exactly one of the table's functions.
///
/// It can't be copied, so that one claim is not ended twice.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[must_use = "a claim that is not ended keeps its key in progress"]
pub struct ClaimId {
    epoch: Epoch,
    identity: Digest,
    /// When the platform may have dropped its record of the claim; `None` for
    /// a claim without one.
    send_before: Option<TimeMs>,
}

impl ClaimId {
    /// Returns whether the claim still keeps other arrivals from running.
    ///
    /// Checked right before the request is sent, since a process that was
    /// paused after its claim may resume when the claim has ended.
    pub fn may_send(&self, now: TimeMs) -> bool {
        self.send_before.is_none_or(|time| now < time)
    }
}

/// The answer of [`KeyTable::claim`].
#[derive(Debug, PartialEq, Eq)]
pub enum Claim {
    /// Nothing of the key ran: send the request, once.
    Run(ClaimId),
    /// The key is the caller's own: create the record in the platform first.
    AskPlatform(ClaimId, ClaimRecord),
    /// An arrival of the key is running.
    InProgress,
    /// An arrival of the key ran and this is its answer.
    Replay(Arc<StoredAnswer>),
    /// An arrival of the key ran, or may have, and no answer is kept.
    AlreadyRun,
    /// The key belongs to a request with another content.
    KeyReused,
    /// The key is older than the table's records.
    Expired,
    /// This process never gave out the key's prefix.
    NotMinted,
    /// Another process on this host gave out the key's prefix, or a daemon
    /// forwarded a key that this one doesn't own.
    OwnerGone,
    /// The process takes no new keys because it stops.
    Stopping(KeyState),
    /// Forward the request to the process that owns the key.
    Forward(KeyOwner),
}

impl Claim {
    /// Returns what the claim says about earlier arrivals.
    ///
    /// After [`Claim::AskPlatform`] the state becomes [`KeyState::NeverRun`]
    /// when the platform grants the claim.
    pub const fn key_state(&self) -> KeyState {
        match self {
            Self::Run(_) | Self::NotMinted => KeyState::NeverRun,
            Self::Stopping(state) => *state,
            _ => KeyState::MayHaveRun,
        }
    }

    /// Returns the refusal that follows from the claim, if any.
    pub const fn refusal(&self) -> Option<RefusalKind> {
        match self {
            Self::Run(_) | Self::AskPlatform(..) | Self::Replay(_) | Self::Forward(_) => None,
            Self::InProgress => Some(RefusalKind::InProgress),
            Self::AlreadyRun => Some(RefusalKind::AlreadyRun),
            Self::KeyReused => Some(RefusalKind::KeyReused),
            Self::Expired => Some(RefusalKind::KeyExpired),
            Self::NotMinted => Some(RefusalKind::KeyMalformed),
            Self::OwnerGone => Some(RefusalKind::OwnerGone),
            Self::Stopping(_) => Some(RefusalKind::Stopping),
        }
    }
}

#[derive(Debug)]
enum KeyProgress {
    /// The platform is being asked for the claim.
    Asking(ClaimNonce),
    /// An arrival may be sent or was sent; the nonce of a platform claim.
    Running(Option<ClaimNonce>),
    /// The platform may hold a claim of this process, and nothing ran.
    Released { nonce: ClaimNonce, created: bool },
    /// An arrival ran and its answer is kept.
    Answered(Arc<StoredAnswer>),
    /// An arrival ran, or may have, and no answer is kept.
    Ran,
}

#[derive(Debug)]
struct KeyRow {
    request: Digest,
    progress: KeyProgress,
}

#[derive(Debug)]
struct EpochRow {
    /// When the next epoch was opened; `None` for the current one.
    ended_at: Option<TimeMs>,
    /// Rows by the hash of tenant and key.
    keys: Table<Digest, KeyRow>,
    /// The bytes of the stored answers in `keys`.
    answer_bytes: u64,
}

impl EpochRow {
    const fn new() -> Self {
        Self {
            ended_at: None,
            keys: Table::new(),
            answer_bytes: 0,
        }
    }

    fn bytes(&self) -> u64 {
        self.keys.len() as u64 * KEY_ROW_BYTES + self.answer_bytes
    }
}

/// The idempotency keys that one daemon process owns.
///
/// The key of a closed epoch is never run. A key of an open epoch without a
/// row never ran, because rows are dropped only together with their epoch.
#[derive(Debug)]
pub struct KeyTable {
    owner: KeyOwner,
    limits: KeyLimits,
    /// Open epochs; the last one is current and always present.
    epochs: Table<Epoch, EpochRow>,
    current: Epoch,
    current_since: TimeMs,
    /// Answered keys in the order of their answers, for dropping the oldest.
    answered: VecDeque<(Epoch, Digest)>,
    /// The bytes of all rows and answers; at most the limit after each call.
    bytes: u64,
    next_nonce: ClaimNonce,
    stopping: bool,
}

impl KeyTable {
    /// Creates the table of the process `owner`.
    pub fn new(owner: KeyOwner, limits: KeyLimits, now: TimeMs) -> Self {
        let mut epochs = Table::new();
        epochs.insert(Epoch::default(), EpochRow::new());
        Self {
            owner,
            limits,
            epochs,
            current: Epoch::default(),
            current_since: now,
            answered: VecDeque::new(),
            bytes: 0,
            next_nonce: ClaimNonce::default(),
            stopping: false,
        }
    }

    /// Returns the prefix for address responses at `now`.
    pub fn mint_prefix(&mut self, now: TimeMs) -> KeyPrefix {
        self.advance(now);
        KeyPrefix {
            host: self.owner.host.clone(),
            incarnation: self.owner.incarnation,
            epoch: self.current,
        }
    }

    /// Refuses all keys that have no row from now on.
    pub fn stop_new_keys(&mut self) {
        self.stopping = true;
    }

    /// Claims `key` of `tenant` for an arrival whose content hashes to
    /// `request`.
    pub fn claim(
        &mut self,
        key: &IdempotencyKey,
        tenant: &TenantName,
        request: Digest,
        arrival: Arrival,
        now: TimeMs,
    ) -> Claim {
        self.advance(now);
        let text = key.to_string();
        let identity = Digest::of_parts(&[tenant.as_str().as_bytes(), text.as_bytes()]);
        match key {
            IdempotencyKey::Prefixed { prefix, .. } => {
                self.claim_prefixed(prefix, identity, request, arrival)
            }
            IdempotencyKey::CallerMade(_) => {
                self.claim_caller_made(identity, request, arrival, now)
            }
        }
    }

    fn claim_prefixed(
        &mut self,
        prefix: &KeyPrefix,
        identity: Digest,
        request: Digest,
        arrival: Arrival,
    ) -> Claim {
        if prefix.host != self.owner.host {
            if arrival == Arrival::Forwarded {
                return Claim::OwnerGone;
            }
            return Claim::Forward(KeyOwner {
                host: prefix.host.clone(),
                incarnation: prefix.incarnation,
            });
        }
        if prefix.incarnation != self.owner.incarnation {
            return Claim::OwnerGone;
        }
        if prefix.epoch > self.current {
            return Claim::NotMinted;
        }
        let Some(epoch) = self.epochs.get_mut(&prefix.epoch) else {
            return Claim::Expired;
        };
        if let Some(row) = epoch.keys.get(&identity) {
            return answer_of(row, request);
        }
        if self.stopping {
            return Claim::Stopping(KeyState::MayHaveRun);
        }
        self.insert_row(prefix.epoch, identity, request, KeyProgress::Running(None));
        Claim::Run(ClaimId {
            epoch: prefix.epoch,
            identity,
            send_before: None,
        })
    }

    fn claim_caller_made(
        &mut self,
        identity: Digest,
        request: Digest,
        arrival: Arrival,
        now: TimeMs,
    ) -> Claim {
        // Half of the retention leaves room for the age of a released row and
        // for a platform clock that runs fast.
        let send_before = Some(now + DurationMs(CLAIM_RETENTION_MS.0 / 2));
        for (epoch, row) in self.epochs.rows_mut() {
            let Some(row) = row.keys.get_mut(&identity) else {
                continue;
            };
            let KeyProgress::Released { nonce, created } = row.progress else {
                return answer_of(row, request);
            };
            let claim = ClaimId {
                epoch: *epoch,
                identity,
                send_before,
            };
            row.request = request;
            // A forwarded arrival does not prove that the record carries this
            // nonce: it may be that of an older row, which ran and was dropped.
            if created {
                row.progress = KeyProgress::Running(Some(nonce));
                return Claim::Run(claim);
            }
            row.progress = KeyProgress::Asking(nonce);
            let record = ClaimRecord {
                owner: self.owner.clone(),
                nonce,
            };
            return Claim::AskPlatform(claim, record);
        }
        if arrival == Arrival::Forwarded {
            return Claim::Expired;
        }
        if self.stopping {
            return Claim::Stopping(KeyState::MayHaveRun);
        }
        let nonce = self.next_nonce;
        self.next_nonce = ClaimNonce(nonce.0 + 1);
        let epoch = self.current;
        self.insert_row(epoch, identity, request, KeyProgress::Asking(nonce));
        let record = ClaimRecord {
            owner: self.owner.clone(),
            nonce,
        };
        let claim = ClaimId {
            epoch,
            identity,
            send_before,
        };
        Claim::AskPlatform(claim, record)
    }

    /// Records that the platform holds this claim, before the request is sent.
    ///
    /// Returns false if the epoch of the claim was closed meanwhile; the
    /// request may be sent all the same, since the platform's record keeps
    /// other arrivals from running.
    pub fn claim_created(&mut self, claim: &ClaimId) -> bool {
        let Some(row) = self.row_mut(claim) else {
            return false;
        };
        if let KeyProgress::Asking(nonce) = row.progress {
            row.progress = KeyProgress::Running(Some(nonce));
        }
        true
    }

    /// Ends a claim that another process holds or that was certainly not
    /// created in the platform.
    pub fn forget(&mut self, claim: ClaimId) {
        self.remove_row(&claim);
    }

    /// Ends a claim whose request ran and was answered.
    ///
    /// An answer over the size limit is not kept.
    pub fn finish_with_answer(&mut self, claim: ClaimId, answer: Arc<StoredAnswer>) {
        let size = answer.size();
        if size > self.limits.answer_bytes {
            self.finish_unknown(claim);
            return;
        }
        let Some(row) = self.row_mut(&claim) else {
            return;
        };
        row.progress = KeyProgress::Answered(answer);
        let added = size.0 + ANSWER_ROW_BYTES;
        if let Some(epoch) = self.epochs.get_mut(&claim.epoch) {
            epoch.answer_bytes += added;
        }
        self.bytes += added;
        self.answered.push_back((claim.epoch, claim.identity));
        self.keep_within_memory();
    }

    /// Ends a claim whose request ran, or may have, without a whole answer.
    pub fn finish_unknown(&mut self, claim: ClaimId) {
        if let Some(row) = self.row_mut(&claim) {
            row.progress = KeyProgress::Ran;
        }
    }

    /// Ends a claim whose request certainly did not run; a later arrival of
    /// the key may run.
    pub fn release_not_run(&mut self, claim: ClaimId) {
        let Some(row) = self.row_mut(&claim) else {
            return;
        };
        let (nonce, created) = match row.progress {
            KeyProgress::Asking(nonce) => (nonce, false),
            KeyProgress::Running(Some(nonce)) => (nonce, true),
            _ => {
                self.remove_row(&claim);
                return;
            }
        };
        // The platform may hold the record, and only this process may act on
        // it; without the row later arrivals would be refused as expired.
        row.progress = KeyProgress::Released { nonce, created };
    }

    /// Returns what is known of earlier arrivals of `key` without claiming it.
    ///
    /// Only this process knows the arrivals of a key with its own prefix; any
    /// other key may have run elsewhere, or in an earlier process on the host.
    pub fn state_of(&self, key: &IdempotencyKey, tenant: &TenantName) -> KeyState {
        let IdempotencyKey::Prefixed { prefix, .. } = key else {
            return KeyState::MayHaveRun;
        };
        if prefix.host != self.owner.host || prefix.incarnation != self.owner.incarnation {
            return KeyState::MayHaveRun;
        }
        let text = key.to_string();
        let identity = Digest::of_parts(&[tenant.as_str().as_bytes(), text.as_bytes()]);
        match self.epochs.get(&prefix.epoch) {
            Some(epoch) if !epoch.keys.contains(&identity) => KeyState::NeverRun,
            _ => KeyState::MayHaveRun,
        }
    }

    /// Returns the number of keys with a row.
    pub fn key_count(&self) -> usize {
        self.epochs.rows().map(|(_, epoch)| epoch.keys.len()).sum()
    }

    /// Returns the memory of rows and stored answers.
    pub const fn memory(&self) -> ByteCount {
        ByteCount(self.bytes)
    }

    /// Returns the oldest open epoch.
    pub fn oldest_open(&self) -> Epoch {
        self.epochs.keys().next().copied().unwrap_or(self.current)
    }

    /// Opens and closes epochs as time passes; every other call does this too.
    pub fn advance(&mut self, now: TimeMs) {
        while now.since(self.current_since) >= self.limits.epoch_ms {
            let opened_at = self.current_since + self.limits.epoch_ms;
            self.open_next_epoch(opened_at);
        }
        while let Some((epoch, row)) = self.epochs.rows().next() {
            let Some(ended_at) = row.ended_at else {
                break;
            };
            if now.since(ended_at) < self.limits.retention_ms {
                break;
            }
            let epoch = *epoch;
            self.close_epoch(epoch);
        }
    }

    fn open_next_epoch(&mut self, now: TimeMs) {
        if let Some(row) = self.epochs.get_mut(&self.current) {
            row.ended_at = Some(now);
        }
        self.current = self.current.next();
        self.current_since = now;
        self.epochs.insert(self.current, EpochRow::new());
    }

    fn close_epoch(&mut self, epoch: Epoch) {
        let Some(row) = self.epochs.remove(&epoch) else {
            return;
        };
        self.bytes -= row.bytes();
        self.answered.retain(|(of, _)| *of != epoch);
    }

    /// Drops stored answers, oldest first, then closes epochs, oldest first.
    ///
    /// Without its answer a key still keeps its request from running again,
    /// and no key that never ran is refused.
    fn keep_within_memory(&mut self) {
        let limit = self.limits.memory_bytes.0;
        while self.bytes > limit {
            if let Some((epoch, identity)) = self.answered.pop_front() {
                self.drop_answer(epoch, identity);
                continue;
            }
            let oldest = self.oldest_open();
            if oldest == self.current {
                let now = self.current_since;
                self.open_next_epoch(now);
            }
            self.close_epoch(oldest);
        }
    }

    fn drop_answer(&mut self, epoch: Epoch, identity: Digest) {
        let Some(epoch) = self.epochs.get_mut(&epoch) else {
            return;
        };
        let Some(row) = epoch.keys.get_mut(&identity) else {
            return;
        };
        if let KeyProgress::Answered(answer) = &row.progress {
            let freed = answer.size().0 + ANSWER_ROW_BYTES;
            epoch.answer_bytes -= freed;
            self.bytes -= freed;
            row.progress = KeyProgress::Ran;
        }
    }

    fn insert_row(
        &mut self,
        epoch: Epoch,
        identity: Digest,
        request: Digest,
        progress: KeyProgress,
    ) {
        let Some(row) = self.epochs.get_mut(&epoch) else {
            return;
        };
        row.keys.insert(identity, KeyRow { request, progress });
        self.bytes += KEY_ROW_BYTES;
        self.keep_within_memory();
    }

    fn remove_row(&mut self, claim: &ClaimId) {
        if let Some(epoch) = self.epochs.get_mut(&claim.epoch)
            && epoch.keys.remove(&claim.identity).is_some()
        {
            self.bytes -= KEY_ROW_BYTES;
        }
    }

    fn row_mut(&mut self, claim: &ClaimId) -> Option<&mut KeyRow> {
        self.epochs
            .get_mut(&claim.epoch)?
            .keys
            .get_mut(&claim.identity)
    }
}

/// Returns the answer for a key whose row is not [`KeyProgress::Released`].
fn answer_of(row: &KeyRow, request: Digest) -> Claim {
    if row.request != request {
        return Claim::KeyReused;
    }
    match &row.progress {
        KeyProgress::Answered(answer) => Claim::Replay(Arc::clone(answer)),
        KeyProgress::Ran => Claim::AlreadyRun,
        KeyProgress::Asking(_) | KeyProgress::Running(_) | KeyProgress::Released { .. } => {
            Claim::InProgress
        }
    }
}
