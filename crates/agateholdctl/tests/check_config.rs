//! Tests the `check-config` command: exit codes, output, and that keys never appear.

use std::process::Command;

const VALID: &str = r#"{"version":"0000000c","routes":[
 {"name":"r-x","host":"x.example","prefix":"/x/","kind":"safe","timeout":"4s","service":"archive"}],
 "services":[{"name":"archive"}],
 "limits":{"header_bytes":1,"body_bytes":1,"header_timeout":"3s","idle_timeout":"15s"},
 "tenants":[{"name":"orchard","api_keys":["SECRET-1"],"rate_per_s":2,"burst":4},
            {"name":"meadow","api_keys":["SECRET-2"]}]}"#;

/// Runs the command on files with these texts; returns the exit code and all output, which
/// must not contain a key.
fn check(test: &str, file: &str, against: Option<&str>, json: bool) -> (Option<i32>, String) {
    let dir = std::env::temp_dir().join(format!("check-config-{}-{test}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    std::fs::write(dir.join("file"), file).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_agateholdctl"));
    command.arg("check-config").arg(dir.join("file"));
    if let Some(against) = against {
        std::fs::write(dir.join("against"), against).expect("a file");
        command.arg("--against").arg(dir.join("against"));
    }
    if json {
        command.arg("--json");
    }
    let output = command.output().expect("the tool starts");
    std::fs::remove_dir_all(&dir).expect("the directory can be removed");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("text");
    assert!(!text.contains("SECRET"), "{text}");
    (output.status.code(), text)
}

/// Guards against exit codes by which a script would send an invalid configuration.
#[test]
fn exit_codes_tell_clean_findings_and_unreadable_apart() {
    assert_eq!(check("clean", VALID, None, false).0, Some(0));
    let shared = VALID.replace("SECRET-2", "SECRET-1");
    let (code, text) = check("shared", &shared, None, false);
    assert_eq!(code, Some(1));
    assert!(
        text.contains("shared-key: tenants[1] \"meadow\" api_keys[0]"),
        "{text}"
    );
    assert_eq!(check("cut", &VALID[..300], None, false).0, Some(2));
    assert_eq!(check("cut-other", VALID, Some("{}"), false).0, Some(2));
    let newer = VALID.replace("0000000c", "0000000d");
    assert_eq!(check("newer", &newer, Some(VALID), false).0, Some(0));
    assert_eq!(check("older", VALID, Some(&newer), false).0, Some(1));
}

/// Guards against undecodable entries without a place, and against the decoder's messages,
/// which quote values that may be keys.
#[test]
fn undecodable_fields_are_located_without_keys() {
    for (from, to, place) in [
        ("\"4s\"", "\"4\"", "routes[0] \"r-x\" timeout: \"4\""),
        ("\"4s\"", "4", "routes[0] \"r-x\" timeout: \"4\""),
        (
            ",\"service\":\"archive\"",
            "",
            "routes[0] \"r-x\" service: \"absent\"",
        ),
        ("0000000c", "c", "version: \"c\""),
        ("\"3s\"", "\"3\"", "header_timeout: \"3\""),
        (
            "[\"SECRET-1\"]",
            "\"SECRET-1, expected SECRET\"",
            "tenants[0] \"orchard\" api_keys",
        ),
        (
            "\"rate_per_s\":2",
            "\"rate_per_s\":\"SECRET-1\"",
            "tenants[0] \"orchard\" rate_per_s",
        ),
        (
            "\"tenants\":[",
            "\"tenants\":\"SECRET\",\"rest\":[",
            "tenants",
        ),
    ] {
        let (code, text) = check("located", &VALID.replace(from, to), None, false);
        assert_eq!(code, Some(1), "{text}");
        assert!(
            text.contains(&format!("undecodable: {place}")),
            "{place}: {text}"
        );
    }
}

/// Guards against differences that are left out of the JSON output, and against keys in it.
#[test]
fn differences_are_printed_as_json() {
    let newer = VALID
        .replace("0000000c", "0000000d")
        .replace("SECRET-1", "SECRET-3\",\"SECRET-4");
    let (code, text) = check("json", &newer, Some(VALID), true);
    assert_eq!(code, Some(0), "{text}");
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let tenant = &value["differences"][1];
    assert_eq!(tenant["name"], "orchard");
    assert_eq!(tenant["keys_added"], 2);
    assert_eq!(tenant["keys_removed"], 1);
    assert_eq!(value["differences"].as_array().map(Vec::len), Some(2));
}
