//! Measures the memory of idempotency keys, the platform calls that claims need,
//! and how often a request is refused although its key has never run.

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

/// The seed of every run.
pub const SEED: u64 = 41;

/// The number of daemons; each arrival goes to a random one.
const DAEMONS: usize = 6;

/// The number of requests per run.
const REQUESTS: u32 = 20_000;

/// The time between two requests.
const REQUEST_INTERVAL_MS: u64 = 20;

/// How long callers use an address response and its key prefix (`ttl_ms`).
const PREFIX_TTL_MS: u64 = 30_000;

/// The maximum delay between the first and second arrival of a key, as a number
/// of requests; 500 requests take 10 s.
const MAX_RESEND_DELAY_REQUESTS: u32 = 500;

/// The number of keys for the measurement of memory.
const MEMORY_KEYS: u32 = 300_000;

/// How callers make keys, and which faults occur.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name in the report.
    pub name: &'static str,
    /// Whether keys begin with a prefix from an address response.
    pub prefixed: bool,
    /// The percentage of requests that are sent again, to any daemon.
    pub resent_percent: u32,
    /// The percentage of platform calls whose answer is lost.
    pub lost_percent: u32,
    /// The percentage of platform calls that fail without effect.
    pub unavailable_percent: u32,
    /// The percentage of claimed requests that the target sheds, so that they
    /// certainly don't run.
    pub shed_percent: u32,
    /// The number of requests after which the next daemon in turn restarts; 0 for
    /// no restarts.
    pub restart_every: u32,
    /// The memory limit of each daemon's key table.
    pub memory: ByteCount,
}

const DEFAULT_SCENARIO: Scenario = Scenario {
    name: "prefix",
    prefixed: true,
    resent_percent: 20,
    lost_percent: 0,
    unavailable_percent: 0,
    shed_percent: 10,
    restart_every: 0,
    memory: ByteCount(128 << 20),
};

/// The measured scenarios.
pub const SCENARIOS: [Scenario; 7] = [
    DEFAULT_SCENARIO,
    Scenario {
        name: "prefix, 1 MB of memory, answers of 8 KB",
        memory: ByteCount(1 << 20),
        ..DEFAULT_SCENARIO
    },
    Scenario {
        name: "prefix, a daemon restarts every minute",
        restart_every: 3_000,
        ..DEFAULT_SCENARIO
    },
    Scenario {
        name: "caller-made",
        prefixed: false,
        ..DEFAULT_SCENARIO
    },
    Scenario {
        name: "caller-made, 5% of platform answers lost",
        prefixed: false,
        lost_percent: 5,
        ..DEFAULT_SCENARIO
    },
    Scenario {
        name: "caller-made, 5% of platform calls fail",
        prefixed: false,
        unavailable_percent: 5,
        ..DEFAULT_SCENARIO
    },
    Scenario {
        name: "caller-made, a daemon restarts every minute",
        prefixed: false,
        restart_every: 3_000,
        ..DEFAULT_SCENARIO
    },
];

/// The result of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyResult {
    /// The number of arrivals from callers.
    pub arrivals: u32,
    /// The number of requests that ran.
    pub runs: u32,
    /// The number of runs of requests that had already run.
    pub double_runs: u32,
    /// The number of calls to the platform.
    pub platform_calls: u32,
    /// The number of arrivals answered with a stored answer.
    pub replays: u32,
    /// The number of refused arrivals.
    pub refused: u32,
    /// The number of refused arrivals whose key had never run.
    pub refused_never_run: u32,
}

struct Fleet {
    scenario: Scenario,
    rng: Pcg64,
    now: TimeMs,
    /// The number of daemon starts; each start gets a new incarnation.
    starts: u64,
    daemons: Vec<(KeyOwner, KeyTable)>,
    /// The claim records that the platform stores.
    platform: BTreeMap<String, ClaimRecord>,
    /// The claim record names of the requests that ran.
    ran: BTreeSet<String>,
    answer: Arc<StoredAnswer>,
    result: KeyResult,
}

/// Runs `scenario`.
pub fn measure(scenario: Scenario) -> Result<KeyResult, Box<dyn Error>> {
    let answer = StoredAnswer {
        http_status: 200,
        headers: Vec::new(),
        body: vec![0; 8 << 10].into(),
    };
    let mut fleet = Fleet {
        scenario,
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
        fleet.now = TimeMs(u64::from(number) * REQUEST_INTERVAL_MS);
        if scenario.restart_every > 0
            && number % scenario.restart_every == scenario.restart_every - 1
        {
            let index = (number / scenario.restart_every) as usize % DAEMONS;
            fleet.daemons[index] = fleet.start(index)?;
        }
        if fleet.now.0.is_multiple_of(PREFIX_TTL_MS) {
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
        let key: IdempotencyKey = if scenario.prefixed {
            format!("{}.{number}", prefixes[daemon]).parse()?
        } else {
            format!("{number}").parse()?
        };
        fleet.send(daemon, &key, &tenant);
        if fleet.random_percent(scenario.resent_percent) {
            let due = number + fleet.rng.random_range(1..=MAX_RESEND_DELAY_REQUESTS);
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
            memory_bytes: self.scenario.memory,
            ..KeyLimits::default()
        };
        let table = KeyTable::new(owner.clone(), limits, self.now);
        Ok((owner, table))
    }

    /// Returns `true` with a probability of `percent`.
    fn random_percent(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn send(&mut self, daemon: usize, key: &IdempotencyKey, tenant: &TenantName) {
        self.result.arrivals += 1;
        self.arrive(daemon, key, tenant, Arrival::Direct);
    }

    fn arrive(
        &mut self,
        daemon: usize,
        key: &IdempotencyKey,
        tenant: &TenantName,
        arrival: Arrival,
    ) {
        let name = claim_record_name(key, tenant);
        let table = &mut self.daemons[daemon].1;
        match table.claim(key, tenant, Digest::default(), arrival, self.now) {
            Claim::Run(claim) => self.run(daemon, name, claim),
            Claim::CreateClaimRecord(claim, own) => {
                self.claim_at_platform(daemon, key, tenant, claim, &own);
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

    fn claim_at_platform(
        &mut self,
        daemon: usize,
        key: &IdempotencyKey,
        tenant: &TenantName,
        claim: ClaimId,
        own: &ClaimRecord,
    ) {
        let name = claim_record_name(key, tenant);
        let deadline = self.now + DurationMs(10_000);
        let mut is_read = false;
        for calls in 1.. {
            self.result.platform_calls += 1;
            let answer = self.call_platform(&name, own, is_read);
            match next_claim_step(&answer, own, calls, self.now, deadline) {
                ClaimStep::Run => {
                    self.daemons[daemon].1.claim_created(&claim);
                    self.run(daemon, name, claim);
                    return;
                }
                ClaimStep::ReadBack => is_read = true,
                ClaimStep::CreateAgain => is_read = false,
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

    /// Creates the claim record `name` unless it exists, or only reads it.
    fn call_platform(&mut self, name: &str, own: &ClaimRecord, is_read: bool) -> ClaimAnswer {
        if self.random_percent(self.scenario.unavailable_percent) {
            return ClaimAnswer::Unavailable;
        }
        let stored = self.platform.get(name).cloned();
        let answer = match stored {
            Some(record) => ClaimAnswer::Exists(record),
            None if is_read => ClaimAnswer::Absent,
            None => {
                self.platform.insert(name.to_owned(), own.clone());
                ClaimAnswer::Created
            }
        };
        if self.random_percent(self.scenario.lost_percent) {
            return ClaimAnswer::Lost;
        }
        answer
    }

    fn run(&mut self, daemon: usize, name: String, claim: ClaimId) {
        let stored_answer = Arc::clone(&self.answer);
        if self.random_percent(self.scenario.shed_percent) {
            self.daemons[daemon].1.release_not_run(claim);
            return;
        }
        self.result.double_runs += u32::from(!self.ran.insert(name));
        self.daemons[daemon]
            .1
            .finish_with_answer(claim, stored_answer);
    }

    fn refuse(&mut self, name: &str) {
        self.result.refused += 1;
        self.result.refused_never_run += u32::from(!self.ran.contains(name));
    }
}

/// Returns a table with `keys` keys that ran and whose answers aren't stored.
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

/// Returns the resident memory of one key without a stored answer.
pub fn bytes_per_key() -> Result<u64, Box<dyn Error>> {
    let before = resident_bytes();
    let table = filled_table(MEMORY_KEYS)?;
    let grown = resident_bytes().saturating_sub(before);
    Ok(grown / table.key_count() as u64)
}

/// Measures all scenarios and the memory of a key and returns the report.
pub fn report() -> Result<String, Box<dyn Error>> {
    let per_key = bytes_per_key()?;
    let mut rows = Vec::new();
    for scenario in SCENARIOS {
        let result = measure(scenario)?;
        let arrivals = f64::from(result.arrivals);
        rows.push(vec![
            scenario.name.to_owned(),
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
        DEFAULT_SCENARIO.resent_percent,
        DEFAULT_SCENARIO.shed_percent,
        markdown(&header, &rows),
    ))
}
