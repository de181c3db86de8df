//! Tests the example files in `examples/`, which users copy.

use std::fs;
use std::path::Path;

use agatehold_core::config::ConfigTables;
use agatehold_core::config::DetectionPolicy;
use agatehold_core::note;
use agatehold_settings::note::parse_note;
use agatehold_settings::process::LimitSettings;
use agatehold_settings::process::parse_daemon;
use agatehold_settings::process::parse_operator;

fn example(name: &str) -> String {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(directory.join(name)).expect("the example exists")
}

/// The example settings must parse, the limits in them must equal the defaults, and
/// the examples of daemon and `agateholdctl` must fit together.
#[test]
fn example_settings_are_valid() {
    let daemon = parse_daemon("daemon.ini", &example("daemon.ini")).unwrap();
    assert_eq!(daemon.limits, LimitSettings::default());
    let operator = parse_operator("agateholdctl.ini", &example("agateholdctl.ini")).unwrap();
    assert_eq!(operator.fleet.admin.len(), daemon.peers.hosts.len());
    assert_eq!(operator.fleet.token, daemon.admin.token);
}

/// The example notes must have the services, target counts, slots, connections and
/// detection profiles of the two users; otherwise a fleet started from them is
/// sized wrongly.
#[test]
fn example_notes_have_the_users_sizes() {
    let certiverde = (
        "certiverde-first-note.ini",
        [("archive", 8), ("closures", 20), ("certificates", 6)],
        (4, 400, DetectionPolicy::false_ejection_first()),
    );
    let puertas = (
        "puertas-del-plata-first-note.ini",
        [("visit-history", 8), ("billing", 15), ("dispatch", 6)],
        (3, 350, DetectionPolicy::detection_first()),
    );
    for (file, services, (slots, connections, detection)) in [certiverde, puertas] {
        let parsed = parse_note(file, &example(file)).unwrap();
        let config = note::apply(&ConfigTables::default(), &parsed.note).unwrap();
        assert_eq!(config.services.len(), services.len());
        for (name, count) in services {
            let name = name.parse().unwrap();
            let targets: Vec<_> = config
                .targets
                .rows()
                .filter(|(_, row)| row.service == name)
                .collect();
            assert_eq!(targets.len(), count, "{name}");
            let row = config.services.get(&name).unwrap();
            assert_eq!(row.detection, detection);
            assert!(
                row.floor.0 < u32::try_from(count).unwrap(),
                "{name}: no ejection is possible"
            );
            for (_, target) in targets {
                assert_eq!(
                    (target.slots.0, target.max_connections),
                    (slots, connections)
                );
            }
        }
    }
}
