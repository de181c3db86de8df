//! A fleet of daemons on virtual time whose tenants have allotments.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use agatehold_core::addresses::rendezvous_score;
use agatehold_core::ids::FailureDomain;
use agatehold_core::ids::HostId;
use agatehold_core::ids::TenantName;
use agatehold_core::limits::allotments::AllotmentEntry;
use agatehold_core::limits::allotments::AllotmentTable;
use agatehold_core::limits::allotments::Ask;
use agatehold_core::limits::allotments::Grant;
use agatehold_core::limits::allotments::part_holders;
use agatehold_core::tenants::Allotment;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

pub(crate) const WINDOW_MS: DurationMs = DurationMs(5_000);

/// How long the store keeps the entry of a daemon that no longer renews it.
const LEASE_MS: u64 = 5_000;

/// The time between two looks for daemons that read the list of entry daemons.
const READ_STEP_MS: u64 = 50;

/// How long a request waits for grants.
const WAIT_MS: u64 = 40;

/// Returns the daemons that hold parts, as the gateway chooses them among hosts of equal
/// capacity.
fn strongest(mut present: Vec<AllotmentEntry>) -> Vec<AllotmentEntry> {
    let holders = part_holders(present.len());
    present.sort_by_cached_key(|entry| rendezvous_score(&["allotments"], entry.host.as_str()));
    present.truncate(holders);
    present.sort_by(|a, b| a.host.cmp(&b.host));
    present
}

/// Which daemons the requests of a tenant reach.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Spread {
    /// All alike.
    Even,
    /// This share reaches one daemon, which is another one each so many milliseconds; the
    /// rest is even.
    Skewed(f64, u64),
}

#[derive(Clone, Debug)]
pub(crate) struct Tenant {
    pub(crate) name: TenantName,
    pub(crate) allotment: Allotment,
    pub(crate) demand_per_s: f64,
    pub(crate) spread: Spread,
    /// When a request was admitted.
    pub(crate) admitted_at: Vec<u64>,
    /// The requests that one bucket for the whole fleet would have admitted, and those
    /// that the fleet admitted, since counting began.
    pub(crate) owed: u32,
    pub(crate) admitted: u32,
    central_tokens: f64,
}

impl Tenant {
    pub(crate) fn new(
        name: &str,
        rate_per_s: f64,
        burst: f64,
        demand_per_s: f64,
        spread: Spread,
    ) -> Self {
        Self {
            name: name.parse().expect("a name"),
            allotment: Allotment { rate_per_s, burst },
            demand_per_s,
            spread,
            admitted_at: Vec::new(),
            owed: 0,
            admitted: 0,
            central_tokens: burst,
        }
    }

    pub(crate) fn share(&self) -> f64 {
        f64::from(self.admitted) / f64::from(self.owed.max(1))
    }

    /// Returns the largest number of requests admitted in any window, as a multiple of
    /// what the allotment gives for a window.
    pub(crate) fn worst_window(&self) -> f64 {
        let mut first = 0;
        let mut most = 0;
        for (last, at) in self.admitted_at.iter().enumerate() {
            while self.admitted_at[first] + WINDOW_MS.0 <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        let seconds = WINDOW_MS.0 as f64 / 1_000.0;
        most as f64 / (self.allotment.rate_per_s * seconds + self.allotment.burst)
    }
}

struct Daemon {
    host: HostId,
    domain: FailureDomain,
    /// `None` while the process is down.
    table: Option<AllotmentTable>,
    /// Counts the processes on the host.
    process: u32,
    /// How far the daemon's clock is ahead.
    clock_ms: u64,
    /// The daemons with the same number reach each other; those of 0 reach the store.
    side: u32,
    registered_until: u64,
    /// Which daemons were registered when the process last read the list.
    seen: Vec<bool>,
    /// When the daemon reads the list of entry daemons next.
    reads_at: u64,
}

enum Payload {
    /// An ask and who sent it.
    Ask(usize, u32, Ask),
    Grant(u32, Grant),
}

struct Waiting {
    daemon: usize,
    process: u32,
    tenant: usize,
    begun_at: u64,
}

pub(crate) struct Fleet {
    daemons: Vec<Daemon>,
    by_host: BTreeMap<HostId, usize>,
    pub(crate) tenants: Vec<Tenant>,
    /// By arrival time and a sequence number.
    datagrams: BTreeMap<(u64, u64), (usize, Payload)>,
    pub(crate) datagrams_sent: u64,
    waiting: Vec<Waiting>,
    pub(crate) now: u64,
    pub(crate) loss: f64,
    pub(crate) counts: bool,
    rng: Pcg64Mcg,
}

impl Fleet {
    pub(crate) fn start(daemons: usize, tenants: Vec<Tenant>, seed: u64) -> Self {
        let mut fleet = Self {
            daemons: Vec::new(),
            by_host: BTreeMap::new(),
            tenants,
            datagrams: BTreeMap::new(),
            datagrams_sent: 0,
            waiting: Vec::new(),
            now: 1_000,
            loss: 0.0,
            counts: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for number in 0..daemons {
            let host: HostId = format!("entry-{number}").parse().expect("a host");
            fleet.by_host.insert(host.clone(), number);
            let clock_ms = fleet.rng.random_range(0..1_000_000);
            fleet.daemons.push(Daemon {
                host,
                domain: format!("domain-{}", number % 3).parse().expect("a domain"),
                table: None,
                process: 0,
                clock_ms,
                side: 0,
                registered_until: u64::MAX,
                seen: Vec::new(),
                reads_at: 0,
            });
        }
        for number in 0..daemons {
            fleet.start_process(number);
        }
        fleet
    }

    pub(crate) fn count(&self) -> usize {
        self.daemons.len()
    }

    pub(crate) fn start_process(&mut self, number: usize) {
        let (now, daemon) = (self.now, &mut self.daemons[number]);
        daemon.process += 1;
        daemon.seen.clear();
        daemon.registered_until = u64::MAX;
        let at = TimeMs(now + daemon.clock_ms);
        daemon.table = Some(AllotmentTable::new(
            daemon.host.clone(),
            daemon.domain.clone(),
            WINDOW_MS,
            at,
        ));
        self.read_entries(number);
    }

    pub(crate) fn kill(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        daemon.table = None;
        daemon.registered_until = daemon.registered_until.min(self.now + LEASE_MS);
    }

    /// Cuts daemons off from the store and from those of another side; 0 ends the cut.
    pub(crate) fn set_side(&mut self, numbers: impl Iterator<Item = usize>, side: u32) {
        for number in numbers {
            let daemon = &mut self.daemons[number];
            daemon.side = side;
            daemon.registered_until = match side {
                0 => u64::MAX,
                _ => self.now + LEASE_MS,
            };
        }
    }

    fn read_entries(&mut self, number: usize) {
        let now = self.now;
        let registered = self.daemons.iter();
        let registered: Vec<bool> = registered
            .map(|daemon| daemon.registered_until > now)
            .collect();
        let mut entries = None;
        if self.daemons[number].seen != registered {
            let present = self.daemons.iter().zip(&registered);
            let present = present.filter(|(_, is_registered)| **is_registered);
            let present = present.map(|(daemon, _)| AllotmentEntry {
                host: daemon.host.clone(),
                failure_domain: daemon.domain.clone(),
            });
            entries = Some(strongest(present.collect()));
            self.daemons[number].seen = registered;
        }
        // A change reaches a daemon within two seconds.
        self.daemons[number].reads_at = self.now + self.rng.random_range(200..2_000);
        let daemon = &mut self.daemons[number];
        let at = TimeMs(self.now + daemon.clock_ms);
        if let Some(table) = &mut daemon.table {
            table.record_answer(at);
            if let Some(entries) = entries {
                table.set_parts(entries, at);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, payload: Payload) {
        self.datagrams_sent += 1;
        if self.rng.random_bool(self.loss) || self.daemons[from].side != self.daemons[to].side {
            return;
        }
        let sequence = self.datagrams_sent;
        let at = self.now + self.rng.random_range(1..=5);
        self.datagrams.insert((at, sequence), (to, payload));
    }

    fn send_asks(&mut self, from: usize) {
        let daemon = &mut self.daemons[from];
        let at = TimeMs(self.now + daemon.clock_ms);
        let process = daemon.process;
        let Some(table) = &mut daemon.table else {
            return;
        };
        for ask in table.needs(at) {
            let to = self.by_host[&ask.to];
            self.send(from, to, Payload::Ask(from, process, ask));
        }
    }

    fn deliver(&mut self, to: usize, payload: Payload) {
        let daemon = &mut self.daemons[to];
        let at = TimeMs(self.now + daemon.clock_ms);
        let Some(table) = &mut daemon.table else {
            return;
        };
        match payload {
            Payload::Ask(from, process, ask) => {
                let tenants = &self.tenants;
                let allotment_of = |name: &TenantName| {
                    let found = tenants.iter().find(|tenant| tenant.name == *name);
                    found.map(|tenant| tenant.allotment)
                };
                let mark = (from as u64) << 32 | u64::from(process);
                let grant = table.grant(mark, ask.number, &ask.items, allotment_of, at);
                self.send(to, from, Payload::Grant(process, grant));
            }
            Payload::Grant(process, grant) => {
                if process == daemon.process {
                    table.apply_grant(&grant, at);
                }
            }
        }
    }

    fn arrive(&mut self, number: usize) {
        let spread = self.tenants[number].spread;
        let mut daemon = self.rng.random_range(0..self.daemons.len());
        if let Spread::Skewed(share, period_ms) = spread
            && self.rng.random_bool(share)
        {
            daemon = (self.now / period_ms) as usize * 7 % self.daemons.len();
        }
        // Callers of a daemon that is down use the next one.
        while self.daemons[daemon].table.is_none() {
            daemon = (daemon + 1) % self.daemons.len();
        }
        let tenant = &mut self.tenants[number];
        if tenant.central_tokens >= 1.0 {
            tenant.central_tokens -= 1.0;
            tenant.owed += u32::from(self.counts);
        }
        let at = TimeMs(self.now + self.daemons[daemon].clock_ms);
        let process = self.daemons[daemon].process;
        let Some(table) = &mut self.daemons[daemon].table else {
            return;
        };
        if table.take(&tenant.name, &tenant.allotment, at).is_some() {
            self.admit(number);
        } else {
            table.start_waiting(&tenant.name, &tenant.allotment, at);
            self.waiting.push(Waiting {
                daemon,
                process,
                tenant: number,
                begun_at: self.now,
            });
        }
        self.send_asks(daemon);
    }

    fn admit(&mut self, number: usize) {
        let tenant = &mut self.tenants[number];
        tenant.admitted += u32::from(self.counts);
        tenant.admitted_at.push(self.now);
    }

    fn serve_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let daemon = &mut self.daemons[waiting.daemon];
            let at = TimeMs(self.now + daemon.clock_ms);
            let tenant = &self.tenants[waiting.tenant];
            let Some(table) = &mut daemon.table else {
                continue;
            };
            if daemon.process != waiting.process {
                continue;
            }
            if table
                .take_waiting(&tenant.name, &tenant.allotment, at)
                .is_some()
            {
                table.end_waiting(&tenant.name);
                self.admit(waiting.tenant);
                continue;
            }
            let waited_ms = self.now - waiting.begun_at;
            let left_ms = DurationMs(WAIT_MS.saturating_sub(waited_ms));
            self.send_asks(waiting.daemon);
            let tenant = &self.tenants[waiting.tenant];
            let Some(table) = &mut self.daemons[waiting.daemon].table else {
                continue;
            };
            if left_ms.0 == 0 || !table.may_get_token(&tenant.name, left_ms, at) {
                table.end_waiting(&tenant.name);
                continue;
            }
            self.waiting.push(waiting);
        }
    }

    /// Runs the fleet for a while.
    pub(crate) fn run(&mut self, length_ms: u64) {
        let until = self.now + length_ms;
        while self.now < until {
            self.now += 1;
            while let Some(entry) = self.datagrams.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (to, payload) = entry.remove();
                self.deliver(to, payload);
            }
            self.serve_waiting();
            for number in 0..self.tenants.len() {
                let tenant = &mut self.tenants[number];
                let gained = tenant.allotment.rate_per_s / 1_000.0;
                let tokens = tenant.central_tokens + gained;
                tenant.central_tokens = tokens.min(tenant.allotment.burst);
                let mut expected = tenant.demand_per_s / 1_000.0;
                while expected > 0.0 {
                    if self.rng.random_bool(expected.min(1.0)) {
                        self.arrive(number);
                    }
                    expected -= 1.0;
                }
            }
            if !self.now.is_multiple_of(READ_STEP_MS) {
                continue;
            }
            for number in 0..self.daemons.len() {
                let daemon = &self.daemons[number];
                if daemon.side == 0 && daemon.reads_at <= self.now {
                    self.read_entries(number);
                }
            }
        }
    }

    /// Sets the demand of all tenants to a multiple of their rates.
    pub(crate) fn set_demand(&mut self, factor: f64) {
        for tenant in &mut self.tenants {
            tenant.demand_per_s = factor * tenant.allotment.rate_per_s;
        }
    }

    /// Begins to count what is owed and admitted.
    pub(crate) fn begin_counting(&mut self) {
        self.counts = true;
    }

    /// Draws a set of daemons.
    pub(crate) fn draw(&mut self, share: f64) -> BTreeSet<usize> {
        let wanted = (self.daemons.len() as f64 * share) as usize;
        let mut drawn = BTreeSet::new();
        while drawn.len() < wanted {
            drawn.insert(self.rng.random_range(0..self.daemons.len()));
        }
        drawn
    }

    pub(crate) fn draw_ms(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }
}
