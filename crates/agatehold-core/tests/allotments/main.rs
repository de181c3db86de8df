//! Tests that tenants get their allotment over all daemons together, and no more, whatever
//! happens to the daemons and the datagrams between them.

mod fleet;
mod rules;

use fleet::Fleet;
use fleet::Spread;
use fleet::Tenant;

/// The share of the owed requests that must be admitted over all tenants is 0.97. A single
/// tenant may have less: one that sends far more than its limit from many daemons has its
/// tokens asked for by many at a time, and of 20 requests each one counts for 0.05.
const SHARE_MIN: f64 = 0.97;
const TENANT_SHARE_MIN: f64 = 0.94;
const TINY_TENANT_SHARE_MIN: f64 = 0.85;

/// The share by which a window may exceed the allotment.
const OVERSHOOT: f64 = 0.1;

const SIZES: [usize; 4] = [30, 126, 300, 880];

/// Tenants of very different size: even, skewed and moving demand, seven times the usual
/// load, and less than one request a second for each daemon.
fn tenants() -> Vec<Tenant> {
    vec![
        Tenant::new("even", 200.0, 200.0, 160.0, Spread::Even),
        Tenant::new("skewed", 60.0, 60.0, 54.0, Spread::Skewed(0.7, u64::MAX)),
        Tenant::new("moving", 60.0, 60.0, 54.0, Spread::Skewed(0.5, 3_000)),
        Tenant::new("sevenfold", 20.0, 20.0, 98.0, Spread::Even),
        Tenant::new("small", 5.0, 5.0, 4.0, Spread::Even),
        Tenant::new("tiny", 1.0, 3.0, 0.7, Spread::Even),
    ]
}

fn check_bound(fleet: &Fleet) {
    for tenant in &fleet.tenants {
        let worst = tenant.worst_window();
        eprintln!(
            "daemons={} tenant={} worst window={worst:.3}",
            fleet.count(),
            tenant.name
        );
    }
    for tenant in &fleet.tenants {
        assert!(tenant.worst_window() <= 1.0 + OVERSHOOT, "{}", tenant.name);
    }
}

/// Guards against tenants that are refused below their limit because their tokens are at
/// daemons that their requests don't reach.
#[test]
fn tenants_get_their_allotment_under_skew() {
    for daemons in SIZES {
        let mut fleet = Fleet::start(daemons, tenants(), 41 + daemons as u64);
        fleet.loss = 0.05;
        fleet.run(20_000);
        fleet.begin_counting();
        let before = fleet.datagrams_sent;
        fleet.run(30_000);
        for tenant in &fleet.tenants {
            eprintln!(
                "daemons={daemons} tenant={} owed={} share={:.3}",
                tenant.name,
                tenant.owed,
                tenant.share()
            );
        }
        eprintln!(
            "datagrams/s/daemon={:.1}",
            (fleet.datagrams_sent - before) as f64 / 30.0 / daemons as f64
        );
        check_bound(&fleet);
        let owed: u32 = fleet.tenants.iter().map(|tenant| tenant.owed).sum();
        let admitted: u32 = fleet.tenants.iter().map(|tenant| tenant.admitted).sum();
        let share = f64::from(admitted) / f64::from(owed);
        assert!(share >= SHARE_MIN, "daemons={daemons} share={share:.3}");
        for tenant in &fleet.tenants {
            let least = if tenant.owed < 50 {
                TINY_TENANT_SHARE_MIN
            } else {
                TENANT_SHARE_MIN
            };
            let share = tenant.share();
            assert!(
                share >= least,
                "daemons={daemons} {} {share:.3}",
                tenant.name
            );
        }
    }
}

/// Guards against tokens that come into being when processes start again, when others take
/// over their parts, or when daemons are cut off.
#[test]
fn the_bound_holds_through_kills_and_cuts() {
    for daemons in SIZES {
        let mut fleet = Fleet::start(daemons, tenants(), 97 + daemons as u64);
        for tenant in &mut fleet.tenants {
            // Bursts that a second spending would show in.
            tenant.allotment.burst *= 8.0;
        }
        fleet.loss = 0.05;
        fleet.set_demand(0.0);
        fleet.run(20_000);
        for _ in 0..2 {
            // The buckets fill, are spent, and their daemons start again.
            fleet.set_demand(1.0);
            fleet.run(9_000);
            fleet.set_demand(12.0);
            fleet.run(700);
            for _ in 0..2 {
                let killed = fleet.draw(0.55);
                for number in &killed {
                    fleet.kill(*number);
                }
                let down_ms = fleet.draw_ms(800..2_000);
                fleet.run(down_ms);
                for number in &killed {
                    fleet.start_process(*number);
                }
                fleet.run(300);
            }
            fleet.run(3_000);
        }
        fleet.set_demand(0.3);
        fleet.run(9_000);
        let cut = fleet.draw(0.5);
        fleet.set_side(cut.iter().copied(), 1);
        fleet.set_demand(12.0);
        let cut_ms = fleet.draw_ms(4_000..10_000);
        fleet.run(cut_ms);
        fleet.set_side(cut.iter().copied(), 0);
        fleet.run(3_000);
        // Others take over the parts of daemons that stay away, and give them back.
        let killed = fleet.draw(0.5);
        for number in &killed {
            fleet.kill(*number);
        }
        fleet.set_demand(0.3);
        fleet.run(25_000);
        fleet.set_demand(12.0);
        fleet.run(300);
        for number in &killed {
            fleet.start_process(*number);
        }
        fleet.run(6_000);
        check_bound(&fleet);
    }
}

/// Guards against a daemon that keeps its part while the others take it over: it is cut off
/// from the store and from the others for longer than they wait.
#[test]
fn a_daemon_that_nobody_answers_drops_its_part() {
    for daemons in [4, 30] {
        let mut fleet = Fleet::start(daemons, tenants(), 11 + daemons as u64);
        fleet.run(15_000);
        for number in 0..daemons / 2 {
            // Each alone.
            fleet.set_side(std::iter::once(number), 1 + number as u32);
        }
        fleet.set_demand(12.0);
        fleet.run(40_000);
        fleet.set_side(0..daemons / 2, 0);
        fleet.run(20_000);
        check_bound(&fleet);
    }
}
