//! Measures CPU time and memory of the membership and replication code.

use std::time::Duration;
use std::time::Instant;

use agatehold_core::config::ConfigTables;
use agatehold_core::config::config_digest;
use agatehold_core::membership;
use agatehold_core::note;
use agatehold_core::note::Note;
use agatehold_core::note::NoteChange;
use agatehold_core::replication;
use agatehold_core::units::DurationMs;

use crate::configs;
use crate::configs::ConfigSize;
use crate::fleet;

use super::network;

/// The measured configuration sizes in percent of the design size.
const SIZES_PERCENT: [u32; 4] = [1, 10, 50, 100];

fn design_config(percent: u32) -> ConfigTables {
    let note = configs::base_note(&ConfigSize::of_design(percent));
    match note::apply(&ConfigTables::default(), &note) {
        Ok(config) => config,
        Err(errors) => panic!("{}", errors[0]),
    }
}

/// Returns the resident memory of this process in bytes, or 0 if it can't be read.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0) * 4_096
}

/// Returns the growth of resident memory per copy of `value`, averaged over
/// `count` copies.
///
/// Another `count` copies are made first. They use up the free pages that the
/// allocator has kept.
fn bytes_of_copy<T: Clone>(value: &T, count: u64) -> u64 {
    let mut copies: Vec<T> = Vec::new();
    for _ in 0..count {
        copies.push(value.clone());
    }
    let before = resident_bytes();
    for _ in 0..count {
        copies.push(value.clone());
    }
    let grown = resident_bytes().saturating_sub(before) / count;
    // The next measurement would reuse the freed pages and show too little growth.
    std::mem::forget(copies);
    grown
}

/// Prints the resident memory of one copy of the configuration tables and of the
/// peer table.
pub fn table_memory() {
    println!("| part of design size | targets | routes | tenants | MB |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for percent in SIZES_PERCENT {
        let config = design_config(percent);
        let grown = bytes_of_copy(&config, 8);
        println!(
            "| {percent}% | {} | {} | {} | {}.{} |",
            config.targets.len(),
            config.routes.len(),
            config.tenants.len(),
            grown / 1_000_000,
            grown % 1_000_000 / 100_000
        );
    }
    println!();
    println!("| peers | peer table MB |");
    println!("| ---: | ---: |");
    for daemons in [48, 220, 880] {
        let base = configs::base_note(&ConfigSize::certiverde());
        let fleet = fleet::converged_fleet(network::fleet_plan(daemons, 0.0, 1), &base);
        let Some(row) = fleet.daemons.get(&configs::host(0)) else {
            continue;
        };
        let grown = bytes_of_copy(&row.membership, 256);
        println!(
            "| {} | {}.{:03} |",
            row.membership.peers.len() + 1,
            grown / 1_000_000,
            grown % 1_000_000 / 1_000
        );
    }
}

/// Returns the shortest time of 7 runs, which other processes disturbed least.
fn shortest_run(mut run: impl FnMut()) -> Duration {
    let mut shortest = Duration::MAX;
    for _ in 0..7 {
        let begin = Instant::now();
        run();
        shortest = shortest.min(begin.elapsed());
    }
    shortest
}

/// Prints the time to apply a note with one change and to compute the digest of
/// the configuration.
pub fn note_apply() {
    println!("| part of design size | targets | tenants | apply ms | digest ms | both ms |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for percent in SIZES_PERCENT {
        let config = design_config(percent);
        let note: Note = configs::tenant_note(99_999);
        debug_assert!(matches!(note.changes[0], NoteChange::PutTenant(..)));
        let apply = shortest_run(|| {
            let next = note::apply(&config, &note);
            assert!(next.is_ok());
        });
        let digest = shortest_run(|| {
            assert_ne!(config_digest(&config).0, [0; 32]);
        });
        println!(
            "| {percent}% | {} | {} | {:.2} | {:.2} | {:.2} |",
            config.targets.len(),
            config.tenants.len(),
            apply.as_secs_f64() * 1e3,
            digest.as_secs_f64() * 1e3,
            (apply + digest).as_secs_f64() * 1e3
        );
    }
}

/// Prints the CPU time that one daemon needs for a tick, for composing a digest
/// and for merging one.
pub fn tick_cost() {
    println!(
        "| daemons | tick µs | digest µs | merge µs | core at 10 ticks and 4 messages a second |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for daemons in [12, 48, 220, 880] {
        let mut fleet = fleet::warmed_up_fleet(network::fleet_plan(daemons, 0.0, 5));
        let (host, other) = (configs::host(0), configs::host(1));
        let mut now = fleet.now;
        let rng = &mut fleet.rng;
        let Some(row) = fleet.daemons.get_mut(&host) else {
            continue;
        };
        let tick = shortest_run(|| {
            for _ in 0..100 {
                now = now + DurationMs(1);
                replication::run(&mut row.replication, &mut row.membership, now, rng);
                membership::run(&mut row.membership, now, rng);
            }
        });
        let head = row.replication.log.head;
        let table = &mut row.membership;
        let digest = shortest_run(|| {
            for _ in 0..100 {
                membership::digest(table, &other, head, None, now);
            }
        });
        let Some(sender) = fleet.daemons.get_mut(&other) else {
            continue;
        };
        let message = membership::digest(&mut sender.membership, &host, head, None, now);
        let Some(row) = fleet.daemons.get_mut(&host) else {
            continue;
        };
        let merge = shortest_run(|| {
            for _ in 0..100 {
                membership::merge(&mut row.membership, &message, now);
            }
        });
        let each_us = |time: Duration| time.as_secs_f64() * 1e6 / 100.0;
        let us_per_second = 10.0 * each_us(tick) + 2.0 * each_us(digest) + 2.0 * each_us(merge);
        println!(
            "| {daemons} | {:.1} | {:.1} | {:.1} | {:.3}% |",
            each_us(tick),
            each_us(digest),
            each_us(merge),
            us_per_second / 1e4
        );
    }
}
