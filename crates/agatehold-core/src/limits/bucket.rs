//! Rate limits of tenants: one token bucket for each tenant.

use crate::config::TenantRow;
use crate::ids::TenantName;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::RequestsPerSecond;
use crate::units::TimeMs;

use super::RetryWindow;

/// The number of shards of the table. Full buckets are dropped one shard at a
/// time, since a pass over all 63,000 rows would delay the requests that wait for
/// it.
pub const BUCKET_SHARDS: usize = 64;

/// The interval at which the shards are swept, one after the other.
const SWEEP_INTERVAL_MS: DurationMs = DurationMs(100);

#[derive(Clone, Copy, Debug)]
struct BucketRow {
    /// The tokens in the bucket at time `at`; one request takes one token.
    tokens: f64,
    /// When `tokens` was last updated.
    at: TimeMs,
    rate: RequestsPerSecond,
    burst: u32,
}

impl BucketRow {
    fn tokens_at(&self, now: TimeMs) -> f64 {
        let gained = self.rate.get() * now.since(self.at).0 as f64 / 1_000.0;
        (self.tokens + gained).min(f64::from(self.burst))
    }
}

/// The token buckets of tenants that sent requests recently.
///
/// A tenant without a row has a full bucket, so a row can be dropped once its
/// bucket has filled up again.
#[derive(Debug)]
pub struct TenantBuckets {
    shards: Vec<Table<TenantName, BucketRow>>,
    /// The index of the shard that is swept next.
    next_sweep: usize,
    /// When a shard was last swept.
    swept_at: TimeMs,
}

impl TenantBuckets {
    /// Creates an empty table, in which every tenant has a full bucket.
    pub fn new() -> Self {
        Self {
            shards: (0..BUCKET_SHARDS).map(|_| Table::new()).collect(),
            next_sweep: 0,
            swept_at: TimeMs::default(),
        }
    }

    /// Takes a token from the bucket of `tenant`, or returns when to retry if
    /// the bucket is empty.
    pub fn take(
        &mut self,
        tenant: &TenantName,
        policy: &TenantRow,
        now: TimeMs,
    ) -> Result<(), RetryWindow> {
        self.sweep(now);
        // A burst of 0 would refuse every request, regardless of the rate.
        let burst = policy.burst.max(1);
        let full = BucketRow {
            tokens: f64::from(burst),
            at: now,
            rate: policy.rate_per_s,
            burst,
        };
        let shard = &mut self.shards[shard_of(tenant)];
        if !shard.contains(tenant) {
            shard.insert(tenant.clone(), full);
        }
        let Some(row) = shard.get_mut(tenant) else {
            return Ok(());
        };
        row.tokens = row.tokens_at(now).min(f64::from(burst));
        row.at = now.max(row.at);
        row.rate = policy.rate_per_s;
        row.burst = burst;
        if row.tokens >= 1.0 {
            row.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (1.0 - row.tokens) / row.rate.get() * 1_000.0;
        Err(RetryWindow::after(DurationMs(wait_ms as u64)))
    }

    /// Returns the number of tenants in the table.
    pub fn len(&self) -> usize {
        self.shards.iter().map(Table::len).sum()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the full buckets of the next shard, if a sweep is due.
    fn sweep(&mut self, now: TimeMs) {
        if now.since(self.swept_at) < SWEEP_INTERVAL_MS {
            return;
        }
        self.swept_at = now;
        let shard = &mut self.shards[self.next_sweep];
        shard.retain(|_, row| row.tokens_at(now) < f64::from(row.burst));
        self.next_sweep = (self.next_sweep + 1) % BUCKET_SHARDS;
    }
}

impl Default for TenantBuckets {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the shard index of a tenant, from the FNV-1a hash of its name.
fn shard_of(tenant: &TenantName) -> usize {
    let mut hash: u32 = 0x811c_9dc5;
    for byte in tenant.as_str().bytes() {
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    hash as usize % BUCKET_SHARDS
}
