//! Tests the parsing of the settings file of a daemon in gateway mode.

use agatehold_settings::process::LogLevel;
use agatehold_settings::process::parse_gateway;

const EXAMPLE: &str = include_str!("../../../examples/gateway.ini");

#[test]
fn the_example_is_valid() {
    let settings = parse_gateway("gateway.ini", EXAMPLE).expect("valid settings");
    assert_eq!(settings.host.id.as_str(), "entry-1");
    assert_eq!(settings.capacity_millicores, 200);
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.entries.least, 3);
    assert_eq!(settings.log, LogLevel::Info);
    assert!(settings.bounds.contains("retry_slack"));
}

/// The memory of a host is optional and may have a fraction. Guards against limits that
/// follow a value which is no sensible size.
#[test]
fn the_memory_of_the_host_is_read() {
    let memory_of = |value: &str| {
        let text = EXAMPLE.replace("memory_mb = 256\n", value);
        parse_gateway("gateway.ini", &text).map(|settings| settings.memory_mb)
    };
    assert_eq!(memory_of("memory_mb = 256\n"), Ok(Some(256)));
    assert_eq!(memory_of("memory_mb = 160.0\n"), Ok(Some(160)));
    assert_eq!(memory_of(""), Ok(None));
    for wrong in ["0", "-5", "inf", "nan", "16", "much"] {
        assert!(
            memory_of(&format!("memory_mb = {wrong}\n")).is_err(),
            "{wrong}"
        );
    }
}

/// A slow link limits the capacity of a host below that of its cores.
#[test]
fn a_slow_link_limits_the_capacity() {
    let slow = EXAMPLE.replace("link_mbps = 1000", "link_mbps = 10");
    let settings = parse_gateway("gateway.ini", &slow).expect("valid settings");
    assert_eq!(settings.capacity_millicores, 50);
    let without_link = EXAMPLE.replace("link_mbps = 1000\n", "");
    let settings = parse_gateway("gateway.ini", &without_link).expect("valid settings");
    assert_eq!(settings.capacity_millicores, 200);
}

#[test]
fn a_platform_without_seeds_or_bounds_is_valid() {
    let mut text = String::new();
    for line in EXAMPLE.lines() {
        let line = match line.split_once(" = ") {
            Some(("seeds" | "bounds", _)) => continue,
            _ => line,
        };
        text += line;
        text += "\n";
    }
    let settings = parse_gateway("gateway.ini", &text).expect("valid settings");
    assert!(settings.seeds.is_empty());
    assert!(settings.bounds.is_empty());
}

/// Guards against a feature that is active where the settings don't ask for it.
#[test]
fn expected_cost_is_used_only_if_set() {
    for (section, expected) in [
        ("", false),
        ("[dispatch]\n", false),
        ("[dispatch]\nexpected_cost = false\n", false),
        ("[dispatch]\nexpected_cost = true\n", true),
    ] {
        let text = format!("{EXAMPLE}\n{section}");
        let settings = parse_gateway("gateway.ini", &text).expect("valid settings");
        assert_eq!(settings.expected_cost, expected, "{section}");
    }
}

/// Every error shows the file, the section and the key, the invalid value, and what
/// was expected.
#[test]
fn errors_show_location_value_and_expectation() {
    for (from, to, expected) in [
        (
            "cores = 0.2 x 1",
            "cores = many",
            "[host] cores = many: expected cores",
        ),
        (
            "cores = 0.2 x 1",
            "cores = 0",
            "[host] cores = 0: expected cores",
        ),
        (
            "least = 3",
            "least = 0",
            "[entries] least = 0: expected a number of daemons",
        ),
        (
            "news = 127.0.0.1:7200",
            "news = here",
            "[listen] news = here: expected IP:port",
        ),
        (
            "seeds = 127.0.0.2:8382",
            "seeds = x",
            "[platform] seeds = x",
        ),
        ("store = 127.0.0.1:8384", "stroe = 127.0.0.1:8384", "stroe"),
        (
            "level = info",
            "level = loud",
            "[log] level = loud: expected error",
        ),
        ("[entries]", "[entrances]", "[entrances]"),
        (
            "[log]",
            "[dispatch]\nexpected_cost = yes\n[log]",
            "[dispatch] expected_cost = yes: expected true or false",
        ),
    ] {
        let text = EXAMPLE.replace(from, to);
        let errors = parse_gateway("gateway.ini", &text).expect_err(to);
        let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
        let messages = messages.join("\n");
        assert!(messages.contains(expected), "{to}: {messages}");
        assert!(messages.starts_with("gateway.ini:"), "{messages}");
    }
}

#[test]
fn all_errors_are_returned_at_once() {
    let text = EXAMPLE
        .replace("least = 3", "least = 0")
        .replace("level = info", "level = loud");
    let errors = parse_gateway("gateway.ini", &text).expect_err("two errors");
    assert_eq!(errors.len(), 2);
}
