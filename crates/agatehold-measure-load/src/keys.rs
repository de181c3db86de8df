//! Memory of keys, platform calls of claims, and refusals of keys that never
//! ran.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::error::Error;
use std::sync::Arc;

use rand::RngExt;
use rand_pcg::Pcg64;

use agatehold_core::idempotency::Arrival;
use agatehold_core::idempotency::Claim;
use agatehold_core::idempotency::ClaimAnswer;
use agatehold_core::idempotency::ClaimId;
use agatehold_core::idempotency::ClaimRecord;
use agatehold_core::idempotency::ClaimStep;
use agatehold_core::idempotency::IdempotencyKey;
use agatehold_core::idempotency::KeyLimits;
use agatehold_core::idempotency::KeyOwner;
use agatehold_core::idempotency::KeyTable;
use agatehold_core::idempotency::StoredAnswer;
use agatehold_core::idempotency::claim_record_name;
use agatehold_core::idempotency::next_claim_step;
use agatehold_core::ids::Digest;
use agatehold_core::ids::Incarnation;
use agatehold_core::ids::TenantName;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::units::ByteCount;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use crate::memory::resident_bytes;
use crate::table_text::markdown;
use crate::table_text::percent;

/// The seed of the runs.
pub const SEED: u64 = 41;

/// The daemons that the arrivals are spread over.
const DAEMONS: usize = 6;

/// The requests of one run.
const REQUESTS: u32 = 20_000;

/// The time between two requests.
const REQUEST_PAUSE_MS: u64 = 20;

/// How long callers keep an address response with its prefix (`ttl_ms`).
const PREFIX_KEPT_MS: u64 = 30_000;

/// The latest second arrival after the first, in requests (10 s).
const LATEST_RESEND: u32 = 500;

/// The keys of the memory run.
const MEMORY_KEYS: u32 = 300_000;

/// How keys are made and what goes wrong.
#[derive(Clone, Copy, Debug)]
pub struct Script {
    /// Words for the report.
    pub name: &'static str,
    /// Whether callers use a prefix from an address response.
    pub prefixed: bool,
    /// The percentage of requests that are sent a second time, to any daemon.
    pub resent: u32,
    /// The percentage of platform calls whose answer is lost.
    pub lost: u32,
    /// The percentage of platform calls that can't be made.
    pub unavailable: u32,
    /// The percentage of first arrivals that certainly don't run.
    pub shed: u32,
    /// Requests after which one daemon, in turn, restarts; 0 for never.
    pub restart_every: u32,
    /// The memory of each daemon's table.
    pub memory: ByteCount,
}

const PLAIN: Script = Script {
    name: "prefix",
    prefixed: true,
    resent: 20,
    lost: 0,
    unavailable: 0,
    shed: 10,
    restart_every: 0,
    memory: ByteCount(128 << 20),
};

/// The runs of the report.
pub const SCRIPTS: [Script; 7] = [
    PLAIN,
    Script {
        name: "prefix, 1 MB of memory, answers of 8 KB",
        memory: ByteCount(1 << 20),
        ..PLAIN
    },
    Script {
        name: "prefix, a daemon restarts every minute",
        restart_every: 3_000,
        ..PLAIN
    },
    Script {
        name: "caller-made",
        prefixed: false,
        ..PLAIN
    },
    Script {
        name: "caller-made, 5% of platform answers lost",
        prefixed: false,
        lost: 5,
        ..PLAIN
    },
    Script {
        name: "caller-made, 5% of platform calls fail",
        prefixed: false,
        unavailable: 5,
        ..PLAIN
    },
    Script {
        name: "caller-made, a daemon restarts every minute",
        prefixed: false,
        restart_every: 3_000,
        ..PLAIN
    },
];

/// What one run brought.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyResult {
    /// Arrivals from callers.
    pub arrivals: u32,
    /// Requests that ran.
    pub runs: u32,
    /// Requests that ran more than once.
    pub double_runs: u32,
    /// Calls of the platform.
    pub platform_calls: u32,
    /// Arrivals answered from a stored answer.
    pub replays: u32,
    /// Arrivals refused.
    pub refused: u32,
    /// Arrivals refused although their key had never run.
    pub refused_never_run: u32,
}

struct Fleet {
    script: Script,
    rng: Pcg64,
    now: TimeMs,
    starts: u64,
    daemons: Vec<(KeyOwner, KeyTable)>,
    platform: BTreeMap<String, ClaimRecord>,
    ran: BTreeSet<String>,
    answer: Arc<StoredAnswer>,
    result: KeyResult,
}

/// Runs `script`.
pub fn measure(script: Script) -> Result<KeyResult, Box<dyn Error>> {
    let answer = StoredAnswer {
        http_status: 200,
        headers: Vec::new(),
        body: vec![0; 8 << 10].into(),
    };
    let mut fleet = Fleet {
        script,
        rng: Pcg64::new(u128::from(SEED), 3),
        now: TimeMs(0),
        starts: 0,
        daemons: Vec::new(),
        platform: BTreeMap::new(),
        ran: BTreeSet::new(),
        answer: Arc::new(answer),
        result: KeyResult::default(),
    };
    for index in 0..DAEMONS {
        let daemon = fleet.start(index)?;
        fleet.daemons.push(daemon);
    }
    let tenant: TenantName = "cauca".parse()?;
    let mut prefixes = Vec::new();
    let mut resends: BTreeMap<u32, Vec<IdempotencyKey>> = BTreeMap::new();
    for number in 0..REQUESTS {
        fleet.now = TimeMs(u64::from(number) * REQUEST_PAUSE_MS);
        if script.restart_every > 0 && number % script.restart_every == script.restart_every - 1 {
            let index = (number / script.restart_every) as usize % DAEMONS;
            fleet.daemons[index] = fleet.start(index)?;
        }
        if fleet.now.0.is_multiple_of(PREFIX_KEPT_MS) {
            prefixes.clear();
            for (_, table) in &mut fleet.daemons {
                prefixes.push(table.issue_prefix(fleet.now));
            }
        }
        for key in resends.remove(&number).unwrap_or_default() {
            let daemon = fleet.rng.random_range(0..DAEMONS);
            fleet.send(daemon, &key, &tenant);
        }
        let daemon = fleet.rng.random_range(0..DAEMONS);
        let key: IdempotencyKey = if script.prefixed {
            format!("{}.{number}", prefixes[daemon]).parse()?
        } else {
            format!("{number}").parse()?
        };
        fleet.send(daemon, &key, &tenant);
        if fleet.happens(script.resent) {
            let due = number + fleet.rng.random_range(1..=LATEST_RESEND);
            resends.entry(due).or_default().push(key);
        }
    }
    fleet.result.runs = fleet.ran.len() as u32;
    Ok(fleet.result)
}

impl Fleet {
    fn start(&mut self, index: usize) -> Result<(KeyOwner, KeyTable), Box<dyn Error>> {
        self.starts += 1;
        let owner = KeyOwner {
            host: format!("entry-{index}").parse()?,
            incarnation: Incarnation(self.starts),
        };
        let limits = KeyLimits {
            memory_bytes: self.script.memory,
            ..KeyLimits::default()
        };
        let table = KeyTable::new(owner.clone(), limits, self.now);
        Ok((owner, table))
    }

    fn happens(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn send(&mut self, daemon: usize, key: &IdempotencyKey, tenant: &TenantName) {
        self.result.arrivals += 1;
        self.arrive(daemon, key, tenant, Arrival::Direct);
    }

    fn arrive(&mut self, daemon: usize, key: &IdempotencyKey, tenant: &TenantName, how: Arrival) {
        let name = claim_record_name(key, tenant);
        let table = &mut self.daemons[daemon].1;
        match table.claim(key, tenant, Digest::default(), how, self.now) {
            Claim::Run(claim) => self.run(daemon, name, claim),
            Claim::CreateClaimRecord(claim, own) => {
                self.ask(daemon, key, tenant, claim, &own);
            }
            Claim::Forward(owner) => self.forward(&owner, key, tenant),
            Claim::Replay(_) => self.result.replays += 1,
            _ => self.refuse(&name),
        }
    }

    fn forward(&mut self, owner: &KeyOwner, key: &IdempotencyKey, tenant: &TenantName) {
        match self.daemons.iter().position(|(other, _)| other == owner) {
            Some(index) => self.arrive(index, key, tenant, Arrival::Forwarded),
            None => self.refuse(&claim_record_name(key, tenant)),
        }
    }

    fn ask(
        &mut self,
        daemon: usize,
        key: &IdempotencyKey,
        tenant: &TenantName,
        claim: ClaimId,
        own: &ClaimRecord,
    ) {
        let name = claim_record_name(key, tenant);
        let deadline = self.now + DurationMs(10_000);
        let mut reads = false;
        for calls in 1.. {
            self.result.platform_calls += 1;
            let answer = self.call_platform(&name, own, reads);
            match next_claim_step(&answer, own, calls, self.now, deadline) {
                ClaimStep::Run => {
                    self.daemons[daemon].1.claim_created(&claim);
                    self.run(daemon, name, claim);
                    return;
                }
                ClaimStep::ReadBack => reads = true,
                ClaimStep::CreateAgain => reads = false,
                ClaimStep::Forward(owner) => {
                    self.daemons[daemon].1.forget(claim);
                    self.forward(&owner, key, tenant);
                    return;
                }
                ClaimStep::Refuse(RefusalKind::ClaimUnavailable) => {
                    self.daemons[daemon].1.release_not_run(claim);
                    self.refuse(&name);
                    return;
                }
                ClaimStep::Refuse(_) => {
                    self.daemons[daemon].1.forget(claim);
                    self.refuse(&name);
                    return;
                }
            }
        }
    }

    fn call_platform(&mut self, name: &str, own: &ClaimRecord, reads: bool) -> ClaimAnswer {
        if self.happens(self.script.unavailable) {
            return ClaimAnswer::Unavailable;
        }
        let held = self.platform.get(name).cloned();
        let answer = match held {
            Some(record) => ClaimAnswer::Exists(record),
            None if reads => ClaimAnswer::Absent,
            None => {
                self.platform.insert(name.to_owned(), own.clone());
                ClaimAnswer::Created
            }
        };
        if self.happens(self.script.lost) {
            return ClaimAnswer::Lost;
        }
        answer
    }

    fn run(&mut self, daemon: usize, name: String, claim: ClaimId) {
        let table_answer = Arc::clone(&self.answer);
        if self.happens(self.script.shed) {
            self.daemons[daemon].1.release_not_run(claim);
            return;
        }
        self.result.double_runs += u32::from(!self.ran.insert(name));
        self.daemons[daemon]
            .1
            .finish_with_answer(claim, table_answer);
    }

    fn refuse(&mut self, name: &str) {
        self.result.refused += 1;
        self.result.refused_never_run += u32::from(!self.ran.contains(name));
    }
}

/// Returns a table with `keys` keys that ran and whose answers aren't kept.
pub fn filled_table(keys: u32) -> Result<KeyTable, Box<dyn Error>> {
    let owner = KeyOwner {
        host: "entry-0".parse()?,
        incarnation: Incarnation(1),
    };
    let mut table = KeyTable::new(owner, KeyLimits::default(), TimeMs(0));
    let prefix = table.issue_prefix(TimeMs(0));
    let tenant: TenantName = "cauca".parse()?;
    for number in 0..keys {
        let key = format!("{prefix}.{number}").parse()?;
        let claim = table.claim(&key, &tenant, Digest::default(), Arrival::Direct, TimeMs(1));
        if let Claim::Run(claim) = claim {
            table.finish_without_answer(claim);
        }
    }
    Ok(table)
}

/// Returns the resident bytes of one key without an answer.
pub fn bytes_per_key() -> Result<u64, Box<dyn Error>> {
    let before = resident_bytes();
    let table = filled_table(MEMORY_KEYS)?;
    let grown = resident_bytes().saturating_sub(before);
    Ok(grown / table.key_count() as u64)
}

/// Returns the report.
pub fn report() -> Result<String, Box<dyn Error>> {
    let per_key = bytes_per_key()?;
    let mut rows = Vec::new();
    for script in SCRIPTS {
        let result = measure(script)?;
        let arrivals = f64::from(result.arrivals);
        rows.push(vec![
            script.name.to_owned(),
            result.arrivals.to_string(),
            result.runs.to_string(),
            result.double_runs.to_string(),
            format!("{:.3}", f64::from(result.platform_calls) / arrivals),
            result.replays.to_string(),
            result.refused.to_string(),
            format!(
                "{} ({})",
                result.refused_never_run,
                percent(f64::from(result.refused_never_run), arrivals)
            ),
        ]);
    }
    let header = [
        "keys",
        "arrivals",
        "ran",
        "ran twice",
        "platform calls an arrival",
        "replayed",
        "refused",
        "refused though never run",
    ];
    Ok(format!(
        "Seed {SEED}, {REQUESTS} requests over {DAEMONS} daemons, {}% sent again, {}% of runs shed.\n\n{}\n\
         Memory: {per_key} bytes resident a key without an answer ({MEMORY_KEYS} keys).\n",
        PLAIN.resent,
        PLAIN.shed,
        markdown(&header, &rows),
    ))
}
