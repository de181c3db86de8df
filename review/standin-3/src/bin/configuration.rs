//! The operator sends a valid configuration, and the daemons are asked what they follow.
//!
//! `configuration name`: a route moves to a new service whose name has an underscore.
//! `configuration weight`: routes are split by weights that are large numbers.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use standin_3::client;
use standin_3::client::Exchange;
use standin_3::daemon::Daemon;
use standin_3::daemon::zone_of;
use standin_3::ms;
use standin_3::record::Record;
use standin_3::sleep_until;
use standin_3::store::Store;
use standin_3::upstream::Upstream;

const DAEMONS: usize = 3;
const WORK: Duration = ms(100);

/// The bound `config_propagation`.
const CONFIG_PROPAGATION: Duration = ms(2_000);

/// The time limit of the routes.
const TIMEOUT: Duration = ms(2_500);

/// How much later than its route's time limit a request may end.
const ANSWER_SLACK: Duration = ms(500);

/// The number of routes.
const ROUTES: usize = 16;

const HOST: &str = "gate.example";

/// Returns a configuration whose routes have these fields in place of `service`.
fn configuration(version: u32, target: &str, services: &[&str]) -> String {
    let mut routes = Vec::new();
    for number in 0..ROUTES {
        routes.push(format!(
            "{{\"name\":\"r-{number}\",\"host\":\"{HOST}\",\"prefix\":\"/r{number}/\",{target},\"kind\":\"unsafe\",\"timeout\":\"2500ms\",\"latency_objective\":\"1500ms\",\"max_attempts\":2,\"priority\":0}}"
        ));
    }
    let mut entries = Vec::new();
    for service in services {
        entries.push(format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":390}}"
        ));
    }
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{}],\"services\":[{}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"}}}}",
        routes.join(","),
        entries.join(",")
    )
}

type Sent = Arc<Mutex<Vec<(usize, Exchange, Duration)>>>;

fn run(is_weight: bool, folder: &Path) -> std::io::Result<ExitCode> {
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = Arc::new(Record::create());
    let store = Store::start();
    let second = match is_weight || !has_trouble {
        true => "cierres-2",
        false => "cierres_2",
    };
    let mut upstreams = Vec::new();
    for number in 0..12 {
        let service = if number < 6 { "cierres" } else { second };
        let upstream = Upstream::start(&format!("i-{number}"), service, WORK)?;
        let entry = upstream.entry("ready", zone_of(number), 1);
        store.put(&upstream.key(), &entry);
        upstreams.push(upstream);
    }
    let first = configuration(1, "\"service\":\"cierres\"", &["cierres", second]);
    // The first configuration must be one that the daemons take, whatever the second is.
    let first = first.replace("cierres_2", "cierres-2");
    store.put("op/config", &first);
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        daemons.push(Daemon::prepare(number, folder)?);
    }
    let seeds: Vec<_> = daemons.iter().map(Daemon::control).collect();
    for daemon in &mut daemons {
        let (_, address) = store.open_entrance()?;
        daemon.start(address, &seeds)?;
    }
    let is_ready = |daemon: &Daemon| daemon.wait_until_ready(ms(10_000));
    if !daemons.iter().all(is_ready) {
        record.say("cannot run: a daemon did not become ready");
        return Ok(ExitCode::from(2));
    }
    std::thread::sleep(ms(8_000));
    let (sent, stop) = (Sent::default(), Arc::new(AtomicBool::new(false)));
    for daemon in &daemons {
        for route in 0..ROUTES {
            let (number, address) = (daemon.number, daemon.callers());
            let (sent, stop, record) = (Arc::clone(&sent), Arc::clone(&stop), Arc::clone(&record));
            std::thread::spawn(move || {
                let path = format!("/r{route}/7");
                while !stop.load(Ordering::Relaxed) {
                    let budget_ms = 10_000;
                    let exchange = client::send(address, "POST", &path, HOST, budget_ms);
                    let took = exchange.sent_at.elapsed();
                    record.line(&format!(
                        "sent id={} daemon={number} path={path} at={:.3} status={} took={:.3} body=\"{}\"",
                        exchange.id,
                        record.at(exchange.sent_at),
                        exchange.status,
                        took.as_secs_f64(),
                        exchange.body
                    ));
                    let row = (number, exchange, took);
                    sent.lock().expect("no holder panics").push(row);
                    std::thread::sleep(ms(400));
                }
            });
        }
    }
    std::thread::sleep(ms(3_000));
    let target = match (is_weight, has_trouble) {
        (false, _) => format!("\"service\":\"{second}\""),
        (true, true) => split(900_000_000, 100_000_000),
        (true, false) => split(90, 10),
    };
    store.put(
        "op/config",
        &configuration(2, &target, &["cierres", second]),
    );
    let confirmed = Instant::now();
    record.say(&format!("confirmed by the store: version 2, with {target}"));
    sleep_until(confirmed + ms(12_000));
    stop.store(true, Ordering::Relaxed);
    std::thread::sleep(ms(11_000));
    let sent = sent.lock().expect("no holder panics");
    let mut broken = 0;
    let limit = confirmed + CONFIG_PROPAGATION;
    for upstream in &upstreams {
        for run in upstream.runs() {
            record.line(&format!(
                "run id={} upstream={} service={} at={:.3}",
                run.id,
                upstream.instance_id,
                upstream.service,
                record.at(run.at)
            ));
            let request = sent.iter().find(|(_, exchange, _)| exchange.id == run.id);
            let is_late = request.is_some_and(|(_, exchange, _)| exchange.sent_at > limit);
            if !is_weight && is_late && upstream.service == "cierres" {
                broken += 1;
                record.line(&format!("BROKEN id={} was run by the old service", run.id));
            }
        }
    }
    if !is_weight {
        record.say(&format!(
            "requests={} broken={broken} (sent over 2 s after the confirmation, run by the old service)",
            sent.len()
        ));
        return Ok(ExitCode::from(u8::from(broken > 0)));
    }
    // Those still unanswered at the time limit, and those of them without an answer half a
    // second later.
    let mut unanswered = 0;
    for (daemon, exchange, took) in sent.iter() {
        unanswered += usize::from(*took > TIMEOUT);
        if *took > TIMEOUT + ANSWER_SLACK {
            broken += 1;
            record.line(&format!(
                "BROKEN id={} daemon={daemon} took={took:?}",
                exchange.id
            ));
        }
    }
    let longest = sent.iter().map(|(_, _, took)| *took).max();
    record.say(&format!(
        "requests={} unanswered at the route's timeout={unanswered} half a second later={broken} longest={:.3} s",
        sent.len(),
        longest.unwrap_or_default().as_secs_f64()
    ));
    let is_broken = broken >= 8 && broken * 2 > unanswered;
    Ok(ExitCode::from(u8::from(is_broken)))
}

fn split(first: u32, second: u32) -> String {
    format!(
        "\"traffic_split\":[{{\"service\":\"cierres\",\"weight\":{first}}},{{\"service\":\"cierres-2\",\"weight\":{second}}}]"
    )
}

fn main() -> ExitCode {
    let is_weight = std::env::args()
        .nth(1)
        .is_some_and(|argument| argument == "weight");
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let result = std::fs::create_dir_all(&folder).and_then(|()| run(is_weight, &folder));
    let _ = std::fs::remove_dir_all(&folder);
    result.unwrap_or_else(|error| {
        println!("cannot run: {error}");
        ExitCode::from(2)
    })
}
