//! The token buckets of the tenants.

use crate::config::TenantRow;
use crate::ids::TenantName;
use crate::table::Table;
use crate::units::DurationMs;
use crate::units::RequestsPerSecond;
use crate::units::TimeMs;

use super::RetryWindow;

/// The number of parts of the table; idle buckets are dropped one part at a
/// time, since a pass over 63,000 rows would hold up the requests behind it.
pub const BUCKET_SHARDS: usize = 64;

/// The time from one part to the next.
const SWEEP_INTERVAL_MS: DurationMs = DurationMs(100);

#[derive(Clone, Copy, Debug)]
struct BucketRow {
    /// Requests that the tenant may send now; at most the burst.
    tokens: f64,
    /// When `tokens` was right.
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

/// The token buckets of the tenants that sent requests recently.
///
/// A tenant without a row has a full bucket, so that a row whose bucket has
/// filled up again is dropped without an effect.
#[derive(Debug)]
pub struct TenantBuckets {
    shards: Vec<Table<TenantName, BucketRow>>,
    next_sweep: usize,
    swept_at: TimeMs,
}

impl TenantBuckets {
    /// Creates a table of full buckets.
    pub fn new() -> Self {
        Self {
            shards: (0..BUCKET_SHARDS).map(|_| Table::new()).collect(),
            next_sweep: 0,
            swept_at: TimeMs::default(),
        }
    }

    /// Takes a token of `tenant`; without one, returns when to come back.
    pub fn take(
        &mut self,
        tenant: &TenantName,
        policy: &TenantRow,
        now: TimeMs,
    ) -> Result<(), RetryWindow> {
        self.sweep(now);
        // A burst of 0 would refuse every request, whatever the rate.
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

    /// Returns the number of tenants with a row.
    pub fn len(&self) -> usize {
        self.shards.iter().map(Table::len).sum()
    }

    /// Returns whether no tenant has a row.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the full buckets of the part whose turn it is.
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

/// Returns the part of a tenant by the FNV-1a hash of its name.
fn shard_of(tenant: &TenantName) -> usize {
    let mut hash: u32 = 0x811c_9dc5;
    for byte in tenant.as_str().bytes() {
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    hash as usize % BUCKET_SHARDS
}
