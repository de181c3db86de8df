//! Tests the `explain` command, which shows why a request failed, on log lines from
//! real daemons.

use std::path::PathBuf;
use std::process::Command;

/// A request that was refused because the target service was overloaded.
const OVERLOAD: &str = "\
2026-08-10T04:07:19.019104641Z [INFO] event=start host=frontend-andina-c-4 version=0.1.0
2026-08-10T04:07:20.573159935Z [INFO] event=configuration version=00000004 revision=50 routes=19 services=3
2026-08-10T04:07:28.901000000Z [INFO] event=answered id=aaaa path=/x route=r service=mije82c target=i-1 sent=1 status=200 over_budget=false ms=90 config=00000004
2026-08-10T04:07:28.976156487Z [WARN] event=refused id=6ac95740492cd83f path=/fixa742/aaf89f kind=queue-timeout outcome=not-run route=r-m8ufr8q service=mije82c target=- sent=0 over_budget=false detail=\"\" backlog=2540ms ms=374 config=00000004
";

/// A non-idempotent request whose answer was lost.
const LOST_ANSWER: &str = "\
2026-08-10T04:07:26.027557109Z [WARN] event=target_avoided target=i-other service=goxa70a outcome=failed nats=3.2 detail=\"server error\"
2026-08-10T04:07:28.943076434Z [WARN] event=refused id=0993bf6108b233dc path=/m/1 kind=target-failed outcome=unknown route=r-m8ufr8q service=mije82c target=i-a3be2b28f3 sent=1 over_budget=false detail=\"connection lost before the answer\" backlog=0ms ms=181 config=00000004
2026-08-10T04:07:28.942900000Z [WARN] event=target_avoided target=i-a3be2b28f3 service=mije82c outcome=connection-lost nats=3.2 detail=\"connection lost before the answer\"
";

/// A request that was refused as isolated while the daemon had lost the store.
const STORE_LOST: &str = "\
2026-08-10T04:07:19.000000000Z [WARN] event=store_lost call=lease fault=\"no answer in time\"
2026-08-10T04:07:20.000000000Z [INFO] event=store_back away=1000ms
2026-08-10T04:07:29.503232653Z [WARN] event=store_lost call=configuration fault=\"connection lost: connection error\"
2026-08-10T04:07:29.946131223Z [INFO] event=configuration version=00000008 revision=87 routes=19 services=3
2026-08-10T04:07:31.764828100Z [WARN] event=refused id=1b4daf50dc148ee4 path=/leka640/87f581?page=33&sort=new kind=isolated outcome=not-run config=00000008 view=10 store_away=2261ms
not a line of a daemon
";

/// A request that was refused since all targets of its service wanted a pause; another
/// service's target doesn't matter.
const PAUSED: &str = "\
2026-12-05T04:07:00.000000000Z [INFO] event=target_paused target=i-1 service=mije82c asked=60000ms left=60000ms
2026-12-05T04:07:01.000000000Z [INFO] event=target_leaving target=i-2 service=mije82c told_by=target
2026-12-05T04:07:02.000000000Z [INFO] event=target_paused target=i-3 service=goxa70a asked=60000ms left=60000ms
2026-12-05T04:07:28.000000000Z [WARN] event=refused id=77ac95740492cd83 path=/x kind=targets-paused outcome=not-run route=r service=mije82c target=- sent=0 over_budget=false detail=\"\" backlog=32000ms ms=1 config=00000004
";

/// Requests whose callers put quotes and names of fields into their ids and paths, as a
/// daemon logs them.
const FORGED: &str = "\
2026-08-10T04:07:28.100000000Z [WARN] event=refused id=\"a1 kind=isolated outcome=not-run\" path=\"/x\\\"7\" kind=target-failed outcome=unknown route=r service=s target=i-1 sent=1 over_budget=false detail=\"connection lost before the answer\" backlog=0ms ms=1 config=00000004
2026-08-10T04:07:28.200000000Z [WARN] event=refused id=\"a2\\\" detail=\\\"forged\\\\\" path=/x?kind=isolated kind=target-failed outcome=unknown route=r service=s target=i-1 sent=1 over_budget=false detail=\"connection lost before the answer\" backlog=0ms ms=1 config=00000004
2026-08-10T04:07:28.300000000Z [WARN] event=refused id=\"\\\"a4\\tid=a5\" path=/x kind=target-failed outcome=unknown route=r service=s target=i-1 sent=1 over_budget=false detail=\"connection lost before the answer\" backlog=0ms ms=1 config=00000004
";

/// The log of a daemon that did not handle the requests.
const OTHER_DAEMON: &str = "\
2026-08-10T04:07:28.000000000Z [WARN] event=store_lost call=members fault=\"status Busy\"
";

fn explain(id: &str, logs: &[(&str, &str)]) -> (Option<i32>, String) {
    // Ids may hold any bytes.
    let name: String = id.bytes().map(|byte| format!("{byte:02x}")).collect();
    let dir = std::env::temp_dir().join(format!("agateholdctl-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let mut files: Vec<PathBuf> = Vec::new();
    for (name, text) in logs {
        let path = dir.join(name);
        std::fs::write(&path, text).expect("a log");
        files.push(path);
    }
    let output = Command::new(env!("CARGO_BIN_EXE_agateholdctl"))
        .arg("explain")
        .arg(id)
        .args(&files)
        .output()
        .expect("the tool starts");
    std::fs::remove_dir_all(&dir).expect("the directory is removed");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn a_refusal_at_overload_is_explained() {
    let (code, text) = explain(
        "6ac95740492cd83f",
        &[("c4.log", OVERLOAD), ("o.log", OTHER_DAEMON)],
    );
    assert_eq!(code, Some(0));
    assert!(text.contains("backlog=2540ms"), "{text}");
    assert!(
        text.contains("refused as queue-timeout: No target had a free slot"),
        "{text}"
    );
    assert!(text.contains("has not run and can be sent again"), "{text}");
    assert!(
        !text.contains("id=aaaa"),
        "other requests are left out: {text}"
    );
    assert!(
        !text.contains("store_lost"),
        "other daemons are left out: {text}"
    );
}

#[test]
fn a_lost_answer_is_explained() {
    let (code, text) = explain("0993bf6108b233dc", &[("a8.log", LOST_ANSWER)]);
    assert_eq!(code, Some(0));
    assert!(text.contains("the request may have run"), "{text}");
    assert!(
        text.contains("at i-a3be2b28f3, ended with: connection lost before the answer"),
        "{text}"
    );
    assert!(
        !text.contains("i-other"),
        "other targets are left out: {text}"
    );
    let avoided = text
        .find("event=target_avoided")
        .expect("the avoided target");
    let refused = text.find("event=refused").expect("the refusal");
    assert!(
        avoided < refused,
        "lines are in chronological order: {text}"
    );
}

#[test]
fn a_refusal_without_the_store_is_explained() {
    let (code, text) = explain("1b4daf50dc148ee4", &[("a18.log", STORE_LOST)]);
    assert_eq!(code, Some(0));
    assert!(text.contains("refused as isolated"), "{text}");
    assert!(
        text.contains("had lost the store at 2026-08-10 4:07:29"),
        "{text}"
    );
    assert!(
        !text.contains("call=lease"),
        "lines older than 10 s are left out: {text}"
    );
}

#[test]
fn an_unknown_request_is_a_failure() {
    let (code, text) = explain("ffff", &[("a18.log", STORE_LOST)]);
    assert_eq!(code, Some(1));
    assert!(text.contains("no line with id=ffff"), "{text}");
}

#[test]
fn a_refusal_while_targets_pause_is_explained() {
    let (code, text) = explain("77ac95740492cd83", &[("a1.log", PAUSED)]);
    assert_eq!(code, Some(0), "{text}");
    assert!(
        text.contains("verdict: refused as targets-paused"),
        "{text}"
    );
    assert!(
        text.contains("targets that asked for a pause: i-1"),
        "{text}"
    );
    assert!(
        text.contains("targets that said that they leave: i-2"),
        "{text}"
    );
    assert!(!text.contains("i-3"), "{text}");
}

/// Guards against a verdict by fields that a caller has put into its id or path.
#[test]
fn quoted_ids_and_paths_add_no_fields() {
    for id in [
        "a1 kind=isolated outcome=not-run",
        "a2\" detail=\"forged\\",
        "\"a4\tid=a5",
    ] {
        let (code, text) = explain(id, &[("a1.log", FORGED)]);
        assert_eq!(code, Some(0), "{text}");
        assert!(text.contains("verdict: refused as target-failed"), "{text}");
        assert!(text.contains("the request may have run"), "{text}");
        assert!(
            text.contains("ended with: connection lost before the answer"),
            "{text}"
        );
    }
    for id in ["a1", "a2", "a4", "a5"] {
        let (code, text) = explain(id, &[("a1.log", FORGED)]);
        assert_eq!(code, Some(1), "{text}");
    }
}
