//! The table of idempotency keys that one daemon process owns.

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

/// The memory of one key without its stored answer: the resident size per key of
/// a table of 300,000 keys, rounded up (`docs/MEASUREMENTS-LOAD.md`).
const KEY_ROW_BYTES: u64 = 144;

/// The memory of a stored answer beyond its header fields and body.
const ANSWER_ROW_BYTES: u64 = 128;

/// The time and memory limits of a [`KeyTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLimits {
    /// How long one epoch lasts.
    pub epoch_ms: DurationMs,
    /// How long the keys of an epoch are kept after the epoch ends.
    pub retention_ms: DurationMs,
    /// The memory limit for keys and stored answers together.
    pub memory_bytes: ByteCount,
    /// The size limit of one stored answer; larger answers are not kept.
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

/// A target's answer, kept to be replayed to later arrivals of the same key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The HTTP status code.
    pub http_status: u16,
    /// The header fields in their original order.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// The body.
    pub body: Box<[u8]>,
}

impl StoredAnswer {
    /// Returns the total size of the header fields and the body.
    pub fn size(&self) -> ByteCount {
        let mut bytes = self.body.len();
        for (name, value) in &self.headers {
            bytes += name.len() + value.len();
        }
        ByteCount(bytes as u64)
    }
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Arrival {
    /// From a caller.
    Direct,
    /// From another daemon that considers this one the owner of the key.
    Forwarded,
}

/// A handle to a claimed key.
///
/// The holder ends the claim with exactly one of [`KeyTable::forget`],
/// [`KeyTable::finish_with_answer`], [`KeyTable::finish_without_answer`] and
/// [`KeyTable::release_not_run`]. The handle can't be copied, so no claim is
/// ended twice.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[must_use = "a claim that is not ended keeps its key in progress"]
pub struct ClaimId {
    epoch: Epoch,
    key_hash: Digest,
    /// The latest time to send the request, well before the platform drops its
    /// record of the claim; `None` for a claim without such a record.
    send_before: Option<TimeMs>,
}

impl ClaimId {
    /// Returns whether the claim still prevents other arrivals from running.
    ///
    /// Check this right before sending the request: the process may have been
    /// paused after it made the claim, and the claim may have expired meanwhile.
    pub fn may_send(&self, now: TimeMs) -> bool {
        self.send_before.is_none_or(|time| now < time)
    }
}

/// The result of [`KeyTable::claim`].
#[derive(Debug, PartialEq, Eq)]
pub enum Claim {
    /// No arrival of the key ran: send the request, once.
    Run(ClaimId),
    /// The key has no prefix: create the claim record in the platform first.
    CreateClaimRecord(ClaimId, ClaimRecord),
    /// An earlier arrival of the key is still running.
    InProgress,
    /// An earlier arrival of the key ran, and this is its answer.
    Replay(Arc<StoredAnswer>),
    /// An earlier arrival of the key ran or may have run, and no answer is kept.
    AlreadyRun,
    /// The key was used before by a request with different content.
    KeyReused,
    /// The epoch of the key is closed, or a forwarded key without a prefix has no
    /// row.
    Expired,
    /// This process has not issued the key's prefix.
    NotIssued,
    /// Another process on this host issued the key's prefix, or another daemon
    /// forwarded a key whose prefix names a different host.
    OwnerGone,
    /// The process is stopping and accepts no new keys.
    Stopping(KeyState),
    /// Forward the request to the process that owns the key.
    Forward(KeyOwner),
}

impl Claim {
    /// Returns what the result says about earlier arrivals of the key.
    ///
    /// For [`Claim::CreateClaimRecord`] the state becomes [`KeyState::NeverRun`] once
    /// the platform has granted the claim.
    pub const fn key_state(&self) -> KeyState {
        match self {
            Self::Run(_) | Self::NotIssued => KeyState::NeverRun,
            Self::Stopping(state) => *state,
            _ => KeyState::MayHaveRun,
        }
    }

    /// Returns the refusal for the request, if the result is one.
    pub const fn refusal(&self) -> Option<RefusalKind> {
        match self {
            Self::Run(_) | Self::CreateClaimRecord(..) | Self::Replay(_) | Self::Forward(_) => None,
            Self::InProgress => Some(RefusalKind::InProgress),
            Self::AlreadyRun => Some(RefusalKind::AlreadyRun),
            Self::KeyReused => Some(RefusalKind::KeyReused),
            Self::Expired => Some(RefusalKind::KeyExpired),
            Self::NotIssued => Some(RefusalKind::KeyMalformed),
            Self::OwnerGone => Some(RefusalKind::OwnerGone),
            Self::Stopping(_) => Some(RefusalKind::Stopping),
        }
    }
}

#[derive(Debug)]
enum KeyProgress {
    /// The claim record is being created in the platform.
    Creating(ClaimNonce),
    /// The request may be sent or has been sent; holds the nonce of the
    /// platform claim if there is one.
    Running(Option<ClaimNonce>),
    /// Nothing ran, but the platform may hold a claim record of this process;
    /// it certainly does if `created` is set.
    Released { nonce: ClaimNonce, created: bool },
    /// The request ran and its answer is kept.
    Answered(Arc<StoredAnswer>),
    /// The request ran or may have run, and no answer is kept.
    AnswerNotKept,
}

#[derive(Debug)]
struct KeyRow {
    request_hash: Digest,
    progress: KeyProgress,
}

#[derive(Debug)]
struct EpochRow {
    /// When the next epoch began; `None` for the current epoch.
    ended_at: Option<TimeMs>,
    /// The keys of the epoch, by the hash of tenant and key.
    keys: Table<Digest, KeyRow>,
    /// The memory of the stored answers in `keys`.
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

/// The idempotency keys that one daemon process owns, with their progress.
///
/// A prefixed key of a closed epoch is refused as expired. A prefixed key of an
/// open epoch that has no row never ran, since the row of a key that may have run
/// is dropped only when its epoch is closed.
#[derive(Debug)]
pub struct KeyTable {
    owner: KeyOwner,
    limits: KeyLimits,
    /// The open epochs; the last one is the current epoch and always present.
    epochs: Table<Epoch, EpochRow>,
    current: Epoch,
    current_since: TimeMs,
    /// Keys with a stored answer, oldest answer first, for eviction.
    answered: VecDeque<(Epoch, Digest)>,
    /// The memory of all rows and stored answers; not above the limit after any
    /// call.
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

    /// Returns the key prefix to include in an address response at `now`.
    pub fn issue_prefix(&mut self, now: TimeMs) -> KeyPrefix {
        self.advance(now);
        KeyPrefix {
            host: self.owner.host.clone(),
            incarnation: self.owner.incarnation,
            epoch: self.current,
        }
    }

    /// From now on, refuses all keys that have no row yet.
    pub fn stop_new_keys(&mut self) {
        self.stopping = true;
    }

    /// Claims `key` of `tenant` for an arrival of the request with content hash
    /// `request_hash`.
    pub fn claim(
        &mut self,
        key: &IdempotencyKey,
        tenant: &TenantName,
        request_hash: Digest,
        arrival: Arrival,
        now: TimeMs,
    ) -> Claim {
        self.advance(now);
        let text = key.to_string();
        let key_hash = Digest::of_parts(&[tenant.as_str().as_bytes(), text.as_bytes()]);
        match key {
            IdempotencyKey::Prefixed { prefix, .. } => {
                self.claim_prefixed(prefix, key_hash, request_hash, arrival)
            }
            IdempotencyKey::CallerMade(_) => {
                self.claim_caller_made(key_hash, request_hash, arrival, now)
            }
        }
    }

    fn claim_prefixed(
        &mut self,
        prefix: &KeyPrefix,
        key_hash: Digest,
        request_hash: Digest,
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
            return Claim::NotIssued;
        }
        let Some(epoch) = self.epochs.get_mut(&prefix.epoch) else {
            return Claim::Expired;
        };
        if let Some(row) = epoch.keys.get(&key_hash) {
            return claim_of_existing(row, request_hash);
        }
        if self.stopping {
            return Claim::Stopping(KeyState::MayHaveRun);
        }
        self.insert_row(
            prefix.epoch,
            key_hash,
            request_hash,
            KeyProgress::Running(None),
        );
        Claim::Run(ClaimId {
            epoch: prefix.epoch,
            key_hash,
            send_before: None,
        })
    }

    fn claim_caller_made(
        &mut self,
        key_hash: Digest,
        request_hash: Digest,
        arrival: Arrival,
        now: TimeMs,
    ) -> Claim {
        // Half of the retention, because the claim record of a released row may
        // already be old and the platform's clock may run fast.
        let send_before = Some(now + DurationMs(CLAIM_RETENTION_MS.0 / 2));
        for (epoch, row) in self.epochs.rows_mut() {
            let Some(row) = row.keys.get_mut(&key_hash) else {
                continue;
            };
            let KeyProgress::Released { nonce, created } = row.progress else {
                return claim_of_existing(row, request_hash);
            };
            let claim = ClaimId {
                epoch: *epoch,
                key_hash,
                send_before,
            };
            row.request_hash = request_hash;
            // That another daemon forwarded the request here does not prove that
            // the platform's record has this nonce: the record may belong to an
            // older row that was dropped after its request ran.
            if created {
                row.progress = KeyProgress::Running(Some(nonce));
                return Claim::Run(claim);
            }
            row.progress = KeyProgress::Creating(nonce);
            let record = ClaimRecord {
                owner: self.owner.clone(),
                nonce,
            };
            return Claim::CreateClaimRecord(claim, record);
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
        self.insert_row(epoch, key_hash, request_hash, KeyProgress::Creating(nonce));
        let record = ClaimRecord {
            owner: self.owner.clone(),
            nonce,
        };
        let claim = ClaimId {
            epoch,
            key_hash,
            send_before,
        };
        Claim::CreateClaimRecord(claim, record)
    }

    /// Records, before the request is sent, that the platform holds this claim.
    ///
    /// Returns false if the epoch of the claim has been closed. The request may
    /// still be sent, since the platform's record prevents other arrivals from
    /// running.
    pub fn claim_created(&mut self, claim: &ClaimId) -> bool {
        let Some(row) = self.row_mut(claim) else {
            return false;
        };
        if let KeyProgress::Creating(nonce) = row.progress {
            row.progress = KeyProgress::Running(Some(nonce));
        }
        true
    }

    /// Ends a claim by dropping its row.
    ///
    /// Used if another claim holds the key in the platform, or if the claim record
    /// was certainly not created there.
    pub fn forget(&mut self, claim: ClaimId) {
        self.remove_row(&claim);
    }

    /// Ends a claim whose request ran and was answered in full.
    ///
    /// An answer above the size limit is not kept.
    pub fn finish_with_answer(&mut self, claim: ClaimId, answer: Arc<StoredAnswer>) {
        let size = answer.size();
        if size > self.limits.answer_bytes {
            self.finish_without_answer(claim);
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
        self.answered.push_back((claim.epoch, claim.key_hash));
        self.keep_within_memory();
    }

    /// Ends a claim whose request ran or may have run without a complete answer.
    pub fn finish_without_answer(&mut self, claim: ClaimId) {
        if let Some(row) = self.row_mut(&claim) {
            row.progress = KeyProgress::AnswerNotKept;
        }
    }

    /// Ends a claim whose request certainly did not run, so that a later arrival
    /// of the key may run.
    pub fn release_not_run(&mut self, claim: ClaimId) {
        let Some(row) = self.row_mut(&claim) else {
            return;
        };
        let (nonce, created) = match row.progress {
            KeyProgress::Creating(nonce) => (nonce, false),
            KeyProgress::Running(Some(nonce)) => (nonce, true),
            _ => {
                self.remove_row(&claim);
                return;
            }
        };
        // The row stays: the platform may hold the claim record, which names
        // this process as the owner. Without the row, this process would refuse
        // later arrivals as expired.
        row.progress = KeyProgress::Released { nonce, created };
    }

    /// Returns what is known about earlier arrivals of `key`, without claiming
    /// it.
    ///
    /// This process knows all arrivals only of keys with its own prefix. Any
    /// other key may have run elsewhere or in an earlier process on this host.
    pub fn state_of(&self, key: &IdempotencyKey, tenant: &TenantName) -> KeyState {
        let IdempotencyKey::Prefixed { prefix, .. } = key else {
            return KeyState::MayHaveRun;
        };
        if prefix.host != self.owner.host || prefix.incarnation != self.owner.incarnation {
            return KeyState::MayHaveRun;
        }
        let text = key.to_string();
        let key_hash = Digest::of_parts(&[tenant.as_str().as_bytes(), text.as_bytes()]);
        match self.epochs.get(&prefix.epoch) {
            Some(epoch) if !epoch.keys.contains(&key_hash) => KeyState::NeverRun,
            _ => KeyState::MayHaveRun,
        }
    }

    /// Returns the number of keys in the table.
    pub fn key_count(&self) -> usize {
        self.epochs.rows().map(|(_, epoch)| epoch.keys.len()).sum()
    }

    /// Returns the estimated memory of the rows and stored answers.
    pub const fn memory(&self) -> ByteCount {
        ByteCount(self.bytes)
    }

    /// Returns the oldest open epoch.
    pub fn oldest_open(&self) -> Epoch {
        self.epochs.keys().next().copied().unwrap_or(self.current)
    }

    /// Opens and closes the epochs that are due at `now`.
    ///
    /// [`Self::issue_prefix`] and [`Self::claim`] call this as well.
    pub fn advance(&mut self, now: TimeMs) {
        while now.since(self.current_since) >= self.limits.epoch_ms {
            let next_began_at = self.current_since + self.limits.epoch_ms;
            self.open_next_epoch(next_began_at);
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

    /// Drops stored answers and, once none are left, closes epochs, both oldest
    /// first, until the table is within its memory limit.
    ///
    /// Answers go first because that costs least: a key without its answer
    /// still prevents its request from running again, while closing an epoch
    /// also refuses keys that never ran.
    fn keep_within_memory(&mut self) {
        let limit = self.limits.memory_bytes.0;
        while self.bytes > limit {
            if let Some((epoch, key_hash)) = self.answered.pop_front() {
                self.drop_answer(epoch, key_hash);
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

    fn drop_answer(&mut self, epoch: Epoch, key_hash: Digest) {
        let Some(epoch) = self.epochs.get_mut(&epoch) else {
            return;
        };
        let Some(row) = epoch.keys.get_mut(&key_hash) else {
            return;
        };
        if let KeyProgress::Answered(answer) = &row.progress {
            let freed = answer.size().0 + ANSWER_ROW_BYTES;
            epoch.answer_bytes -= freed;
            self.bytes -= freed;
            row.progress = KeyProgress::AnswerNotKept;
        }
    }

    fn insert_row(
        &mut self,
        epoch: Epoch,
        key_hash: Digest,
        request_hash: Digest,
        progress: KeyProgress,
    ) {
        let Some(row) = self.epochs.get_mut(&epoch) else {
            return;
        };
        row.keys.insert(
            key_hash,
            KeyRow {
                request_hash,
                progress,
            },
        );
        self.bytes += KEY_ROW_BYTES;
        self.keep_within_memory();
    }

    fn remove_row(&mut self, claim: &ClaimId) {
        if let Some(epoch) = self.epochs.get_mut(&claim.epoch)
            && epoch.keys.remove(&claim.key_hash).is_some()
        {
            self.bytes -= KEY_ROW_BYTES;
        }
    }

    fn row_mut(&mut self, claim: &ClaimId) -> Option<&mut KeyRow> {
        self.epochs
            .get_mut(&claim.epoch)?
            .keys
            .get_mut(&claim.key_hash)
    }
}

/// Returns the result of claiming a key that has a row.
///
/// The caller handles [`KeyProgress::Released`] rows of keys without a prefix
/// itself.
fn claim_of_existing(row: &KeyRow, request_hash: Digest) -> Claim {
    if row.request_hash != request_hash {
        return Claim::KeyReused;
    }
    match &row.progress {
        KeyProgress::Answered(answer) => Claim::Replay(Arc::clone(answer)),
        KeyProgress::AnswerNotKept => Claim::AlreadyRun,
        KeyProgress::Creating(_) | KeyProgress::Running(_) | KeyProgress::Released { .. } => {
            Claim::InProgress
        }
    }
}
