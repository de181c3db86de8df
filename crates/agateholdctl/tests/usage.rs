//! Tests the command line and the exit codes.

use std::path::Path;
use std::process::Command;

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let output = Command::new(env!("CARGO_BIN_EXE_agateholdctl"))
        .current_dir(folder)
        .args(arguments)
        .output()
        .expect("the tool starts");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

/// Scripts depend on the exit codes. An option that is ignored would mislead its user.
#[test]
fn exit_codes_follow_the_documented_list() {
    let settings = ["--settings", "agateholdctl.ini"];
    for (arguments, code, word) in [
        (&["--help"][..], 0, "note release FILE"),
        (&["--version"], 0, "agateholdctl 0."),
        (&[], 2, "expected a command"),
        (&["note", "check"], 2, "wrong arguments"),
        (
            &["note", "history", "--force"],
            2,
            "--force does not belong",
        ),
        (&["note", "status", "x"], 2, "NUMBER-ID"),
        (&["--check"], 0, "the settings are valid"),
        (
            &["--check", "--settings", "daemon.ini"],
            3,
            "[host]: unknown section",
        ),
        (
            &["--check", "--settings", "none.ini"],
            1,
            "can't read none.ini",
        ),
        (
            &["note", "check", "daemon.ini", "--against", "empty.ini"],
            3,
            "daemon.ini:4: [host]",
        ),
        (
            &[
                "note",
                "check",
                "certiverde-first-note.ini",
                "--against",
                "empty.ini",
            ],
            0,
            "34 targets",
        ),
        (
            &[
                "note",
                "check",
                "empty.ini",
                "--against",
                "puertas-del-plata-first-note.ini",
            ],
            0,
            "29 targets",
        ),
        (
            &["note", "diff", "empty.ini", "empty.ini"],
            0,
            "no difference",
        ),
    ] {
        let given: Vec<&str> = match arguments.contains(&"--settings") {
            true => arguments.to_vec(),
            false => [arguments, &settings].concat(),
        };
        let (found, text) = run(&given);
        assert_eq!(found, Some(code), "{arguments:?}: {text}");
        assert!(text.contains(word), "{arguments:?}: {text}");
    }
}
