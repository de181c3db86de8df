//! Benchmarks the decisions that a daemon makes for each request: routing,
//! idempotency keys and admission.

use std::error::Error;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::BatchSize;
use criterion::Criterion;
use rand_pcg::Pcg64;

use agatehold_core::config::ConfigTables;
use agatehold_core::config::Idempotence;
use agatehold_core::config::RouteRow;
use agatehold_core::config::ServiceRow;
use agatehold_core::config::TargetRow;
use agatehold_core::config::TargetState;
use agatehold_core::config::TrafficClass;
use agatehold_core::idempotency::Arrival;
use agatehold_core::idempotency::Claim;
use agatehold_core::idempotency::IdempotencyKey;
use agatehold_core::idempotency::KeyLimits;
use agatehold_core::idempotency::KeyOwner;
use agatehold_core::idempotency::KeyTable;
use agatehold_core::ids::Digest;
use agatehold_core::ids::HostId;
use agatehold_core::ids::Incarnation;
use agatehold_core::ids::TenantName;
use agatehold_core::limits::AdmissionQueue;
use agatehold_core::limits::Offer;
use agatehold_core::limits::QueueLimits;
use agatehold_core::limits::allotments::AllotmentEntry;
use agatehold_core::limits::allotments::AllotmentTable;
use agatehold_core::note::Head;
use agatehold_core::routing::RoutingTable;
use agatehold_core::routing::build;
use agatehold_core::routing::match_route;
use agatehold_core::routing::pick_target;
use agatehold_core::table::Table;
use agatehold_core::tenants::Allotment;
use agatehold_core::tenants::KeyDigest;
use agatehold_core::tenants::TenantRow;
use agatehold_core::tenants::TenantTable;
use agatehold_core::units::DurationMs;
use agatehold_core::units::SlotCount;
use agatehold_core::units::TimeMs;

/// Name, and the numbers of services, targets, routes, and keys per epoch in one
/// daemon. At the design size, an epoch has the keys of 140 requests per second
/// for 10 min; today's size has a tenth of that.
const SIZES: [(&str, usize, usize, usize, u32); 2] = [
    ("today", 3, 34, 9, 8_400),
    ("design", 340, 9_900, 3_800, 84_000),
];

fn routing_table(
    services: usize,
    targets: usize,
    routes: usize,
) -> Result<RoutingTable, Box<dyn Error>> {
    let mut config = ConfigTables::default();
    for number in 0..services {
        let name = format!("service-{number}").parse()?;
        config.services.insert(name, ServiceRow::default());
    }
    for number in 0..targets {
        let address = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 80));
        let row = TargetRow {
            service: format!("service-{}", number % services).parse()?,
            address,
            failure_domain: format!("zone-{}", number % 3).parse()?,
            slots: SlotCount(4),
            max_connections: 400,
            state: TargetState::Serving,
        };
        config
            .targets
            .insert(format!("target-{number}").parse()?, row);
    }
    for number in 0..routes {
        let row = RouteRow {
            service: format!("service-{}", number % services).parse()?,
            path_prefix: format!("/v1/route-{number}").into(),
            host: None,
            methods: vec!["GET".into(), "POST".into()],
            idempotence: Idempotence::ByMethod,
            require_key: true,
            tenants: Vec::new(),
        };
        config
            .routes
            .insert(format!("route-{number}").parse()?, row);
    }
    Ok(build(Head::default(), &config, &mut Table::new()))
}

fn bench_routing(criterion: &mut Criterion) -> Result<(), Box<dyn Error>> {
    for (name, services, targets, routes, _) in SIZES {
        let table = routing_table(services, targets, routes)?;
        let path = format!("/v1/route-{}/farms/17/documents", routes / 2);
        criterion.bench_function(&format!("match_route/{name}"), |bencher| {
            bencher.iter(|| match_route(&table, "api.example", black_box(&path), "GET"));
        });
        let route = match_route(&table, "api.example", &path, "GET").ok_or("no route")?;
        let service = route.service;
        let mut rng = Pcg64::new(5, 4);
        criterion.bench_function(&format!("pick_target/{name}"), |bencher| {
            bencher.iter(|| {
                let picked = pick_target(&table, service, &[], TimeMs(1), &mut rng);
                if let Some(target) = picked {
                    table.targets[target.position()].cell.release();
                }
                picked
            });
        });
    }
    Ok(())
}

fn filled_table(keys: u32) -> Result<KeyTable, Box<dyn Error>> {
    let owner = KeyOwner {
        host: "entry-0".parse()?,
        incarnation: Incarnation(1),
    };
    let limits = KeyLimits {
        retention_ms: DurationMs(u64::MAX / 2),
        ..KeyLimits::default()
    };
    let mut table = KeyTable::new(owner, limits, TimeMs(0));
    let tenant: TenantName = "cauca".parse()?;
    // Seven open epochs, as with epochs of 10 min that are kept for 1 h.
    for epoch in 0..7_u64 {
        let now = TimeMs(epoch * limits.epoch_ms.0);
        let prefix = table.issue_prefix(now);
        for number in 0..keys {
            let key = format!("{prefix}.{number}").parse()?;
            if let Claim::Run(claim) =
                table.claim(&key, &tenant, Digest::default(), Arrival::Direct, now)
            {
                table.finish_without_answer(claim);
            }
        }
    }
    Ok(table)
}

fn bench_claims(criterion: &mut Criterion) -> Result<(), Box<dyn Error>> {
    let tenant: TenantName = "cauca".parse()?;
    let now = TimeMs(6 * KeyLimits::default().epoch_ms.0 + 1);
    for (name, _, _, _, keys) in SIZES {
        let mut table = filled_table(keys)?;
        let prefix = table.issue_prefix(now);
        let new_key: IdempotencyKey = format!("{prefix}.new").parse()?;
        criterion.bench_function(&format!("claim_and_release/{name}"), |bencher| {
            bencher.iter(|| {
                let claim = table.claim(&new_key, &tenant, Digest::default(), Arrival::Direct, now);
                if let Claim::Run(claim) = claim {
                    table.release_not_run(claim);
                }
            });
        });
        let caller_made_key: IdempotencyKey = "made-by-the-caller".parse()?;
        criterion.bench_function(&format!("claim_caller_made/{name}"), |bencher| {
            bencher.iter(|| {
                let claim = table.claim(
                    &caller_made_key,
                    &tenant,
                    Digest::default(),
                    Arrival::Direct,
                    now,
                );
                if let Claim::CreateClaimRecord(claim, _) = claim {
                    table.forget(claim);
                }
            });
        });
        let epoch_expired_at = TimeMs(u64::MAX / 2 + 10 * KeyLimits::default().epoch_ms.0);
        criterion.bench_function(&format!("close_epoch/{name}"), |bencher| {
            bencher.iter_batched(
                || table_with_open_epoch(keys),
                |table| table.map(|mut table| table.advance(epoch_expired_at)),
                BatchSize::PerIteration,
            );
        });
    }
    Ok(())
}

/// Returns a table with a single open epoch with `keys` keys, which the benchmark
/// closes.
fn table_with_open_epoch(keys: u32) -> Option<KeyTable> {
    let owner = KeyOwner {
        host: "entry-0".parse().ok()?,
        incarnation: Incarnation(1),
    };
    let limits = KeyLimits {
        epoch_ms: DurationMs(u64::MAX / 2),
        retention_ms: DurationMs(0),
        ..KeyLimits::default()
    };
    let mut table = KeyTable::new(owner, limits, TimeMs(0));
    let tenant: TenantName = "cauca".parse().ok()?;
    let prefix = table.issue_prefix(TimeMs(0));
    for number in 0..keys {
        let key = format!("{prefix}.{number}").parse().ok()?;
        let claim = table.claim(&key, &tenant, Digest::default(), Arrival::Direct, TimeMs(0));
        if let Claim::Run(claim) = claim {
            table.finish_without_answer(claim);
        }
    }
    Some(table)
}

fn bench_admission(criterion: &mut Criterion) -> Result<(), Box<dyn Error>> {
    for (name, places) in [("today", 64), ("design", 1_024)] {
        let limits = QueueLimits {
            places,
            wait_ms: DurationMs(1_000),
        };
        let mut queue = AdmissionQueue::new(limits);
        let mut offers = Vec::new();
        for number in 0..places {
            offers.push(Offer {
                tenant: format!("tenant-{}", number % 32).parse()?,
                class: TrafficClass::Urgent,
                deadline: TimeMs(10_000),
                expected_run_ms: None,
                caller_deadline: None,
            });
        }
        for offer in &offers[1..] {
            queue.offer(offer.clone(), false, TimeMs(0));
        }
        let mut next = 0;
        criterion.bench_function(&format!("offer_and_slot_free/{name}"), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % offers.len();
                let admission = queue.offer(offers[next].clone(), false, TimeMs(1));
                (admission, queue.assign_free_slot(TimeMs(1)))
            });
        });
    }
    Ok(())
}

/// Returns the tables of `tenants` tenants with one key each, and their keys.
fn tenant_tables(
    tenants: usize,
) -> Result<(TenantTable, AllotmentTable, Vec<KeyDigest>), Box<dyn Error>> {
    let mut table = TenantTable::new();
    let mut keys = Vec::new();
    for number in 0..tenants {
        let row = TenantRow {
            name: format!("tenant-{number}").parse()?,
            stated_name: None,
            priority: None,
            allotment: Some(Allotment {
                rate_per_s: 1_000_000.0,
                burst: 1_000_000.0,
            }),
        };
        let key = KeyDigest::of(format!("key-{number}").as_bytes());
        table.insert(row, std::iter::once(key));
        keys.push(key);
    }
    let own: HostId = "entry-0".parse()?;
    let window_ms = DurationMs(5_000);
    let domain = "domain-0".parse()?;
    let mut allotments = AllotmentTable::new(own, domain, window_ms, TimeMs(0));
    let mut entries = Vec::new();
    for number in 0..30 {
        entries.push(AllotmentEntry {
            host: format!("entry-{number}").parse()?,
            failure_domain: format!("domain-{}", number % 3).parse()?,
        });
    }
    allotments.set_parts(entries, TimeMs(0));
    Ok((table, allotments, keys))
}

/// Look-up of the key and one token, for tenants in turn.
fn bench_allotments(criterion: &mut Criterion) -> Result<(), Box<dyn Error>> {
    for tenants in [77, 63_000] {
        let (table, mut allotments, keys) = tenant_tables(tenants)?;
        let mut next = 0;
        let mut requests = 0_u64;
        criterion.bench_function(&format!("look_up_and_take/{tenants}"), |bencher| {
            bencher.iter(|| {
                // A prime step, so that neighbouring rows don't follow each other.
                next = (next + 7_919) % keys.len();
                requests += 1;
                let now = TimeMs(10_000 + requests / 100);
                allotments.record_answer(now);
                let row = table.by_key(&keys[next])?;
                allotments.take(&row.name, row.allotment.as_ref()?, now)
            });
        });
    }
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut criterion = Criterion::default()
        .without_plots()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .configure_from_args();
    bench_routing(&mut criterion)?;
    bench_claims(&mut criterion)?;
    bench_admission(&mut criterion)?;
    bench_allotments(&mut criterion)?;
    criterion.final_summary();
    Ok(())
}
