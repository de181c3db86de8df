//! End-to-end test from the release of a note to answered requests.

use std::path::Path;

use agatehold_testing::caller;
use agatehold_testing::caller::CallerOptions;
use agatehold_testing::fleet::Fleet;
use agatehold_testing::fleet::FleetOptions;
use agatehold_testing::history;

/// Fails if any step is broken, such as spreading the note or answering address
/// queries, because requests then get no answer.
#[test]
fn requests_are_served_through_every_daemon() {
    let binary = Path::new(env!("CARGO_BIN_EXE_agatehold"));
    let fleet = Fleet::start(binary, FleetOptions::default()).unwrap();
    let service = "certificates".parse().unwrap();
    let tenant = "exporter".parse().unwrap();
    let mut options = CallerOptions::new(fleet.caller_addresses(), service, tenant);
    options.count = 60;
    let records = caller::start(options).unwrap().join();
    let runs = fleet.runs().unwrap();

    assert_eq!(
        records.iter().filter(|record| record.is_success()).count(),
        60
    );
    assert_eq!(history::check_response_bodies(&records), Vec::new());
    assert_eq!(history::check_at_most_once(&records, &runs), Vec::new());
    assert_eq!(history::check_not_run(&records, &runs), Vec::new());
    for daemon in &fleet.daemons {
        let used = records
            .iter()
            .any(|record| record.address == daemon.callers);
        assert!(used, "{} had no request", daemon.host);
    }
    fleet.close().unwrap();
}
