//! Another writer puts an entry with missing fields under the key of an upstream, with the
//! name of another service. Rule ROUTE: no request of that service may run there.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standin_3::client;
use standin_3::client::Exchange;
use standin_3::daemon::Daemon;
use standin_3::daemon::zone_of;
use standin_3::ms;
use standin_3::record::Record;
use standin_3::store::Store;
use standin_3::upstream::Upstream;

const DAEMONS: usize = 3;
const CLIENTS: usize = 4;
const WORK: Duration = ms(100);

/// The interval at which upstreams write their entries (`heartbeat_interval`). The next
/// write of the upstream replaces the entry of the other writer.
const HEARTBEAT_INTERVAL: Duration = ms(1_500);

const HOST: &str = "gate.example";

/// Closures, which must not run twice, go to `cierres`; reports go to `archivo`. No
/// configuration ever sends closures to `archivo`.
const CONFIGURATION: &str = "{\"version\":\"00000001\",\"routes\":[\
    {\"name\":\"closures\",\"host\":\"gate.example\",\"prefix\":\"/closures/\",\"service\":\"cierres\",\"kind\":\"unsafe\",\"timeout\":\"5s\",\"latency_objective\":\"1500ms\",\"max_attempts\":2,\"priority\":0},\
    {\"name\":\"reports\",\"host\":\"gate.example\",\"prefix\":\"/reports/\",\"service\":\"archivo\",\"kind\":\"safe\",\"timeout\":\"4s\",\"latency_objective\":\"1500ms\",\"max_attempts\":2,\"priority\":1}],\
    \"services\":[{\"name\":\"cierres\",\"health_path\":\"/health\",\"max_connections\":390},{\"name\":\"archivo\",\"health_path\":\"/health\",\"max_connections\":390}],\
    \"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"}}";

type Sent = Arc<Mutex<Vec<(usize, Exchange)>>>;

fn run(folder: &Path) -> std::io::Result<ExitCode> {
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = Arc::new(Record::create());
    let store = Store::start();
    let mut upstreams = Vec::new();
    for number in 0..6 {
        let service = if number < 3 { "cierres" } else { "archivo" };
        let upstream = Upstream::start(&format!("i-{number}"), service, WORK)?;
        store.put(
            &upstream.key(),
            &upstream.entry("ready", zone_of(number), 1),
        );
        upstreams.push(upstream);
    }
    store.put("op/config", CONFIGURATION);
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        daemons.push(Daemon::prepare(number, folder)?);
    }
    let seeds: Vec<_> = daemons.iter().map(Daemon::control).collect();
    for daemon in &mut daemons {
        let (_, address) = store.open_entrance()?;
        daemon.start(address, &seeds)?;
    }
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_until_ready(ms(10_000)))
    {
        record.say("cannot run: a daemon did not become ready");
        return Ok(ExitCode::from(2));
    }
    std::thread::sleep(ms(8_000));
    let (sent, stop) = (Sent::default(), Arc::new(AtomicBool::new(false)));
    for daemon in daemons.iter().flat_map(|daemon| [daemon; CLIENTS]) {
        let (number, address) = (daemon.number, daemon.callers());
        let (sent, stop, record) = (Arc::clone(&sent), Arc::clone(&stop), Arc::clone(&record));
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let exchange = client::send(address, "POST", "/closures/7", HOST, 5_000);
                record.line(&format!(
                    "sent id={} daemon={number} at={:.3} status={} body=\"{}\"",
                    exchange.id,
                    record.at(exchange.sent_at),
                    exchange.status,
                    exchange.body
                ));
                sent.lock()
                    .expect("no holder panics")
                    .push((number, exchange));
                std::thread::sleep(ms(20));
            }
        });
    }
    std::thread::sleep(ms(3_000));
    let archive = &upstreams[3];
    if has_trouble {
        // `version`, `warmup_left` and `sequence` are missing.
        let forged = format!(
            "{{\"service\":\"cierres\",\"address\":\"{}\",\"zone\":\"{}\",\"slots\":4,\"state\":\"ready\",\"born\":{}}}",
            archive.address,
            zone_of(3),
            archive.born_ms()
        );
        store.put(&archive.key(), &forged);
        record.say(&format!("another writer puts {}: {forged}", archive.key()));
    }
    std::thread::sleep(HEARTBEAT_INTERVAL);
    if has_trouble {
        store.put(&archive.key(), &archive.entry("ready", zone_of(3), 3));
        record.say(&format!("{} writes its entry again", archive.instance_id));
    }
    std::thread::sleep(ms(3_000));
    stop.store(true, Ordering::Relaxed);
    std::thread::sleep(ms(500));
    let sent = sent.lock().expect("no holder panics");
    let mut broken = 0;
    for upstream in &upstreams {
        for run in upstream.runs() {
            record.line(&format!(
                "run id={} upstream={} service={} at={:.3}",
                run.id,
                upstream.instance_id,
                upstream.service,
                record.at(run.at)
            ));
            // Only closures are sent.
            if upstream.service != "cierres" && sent.iter().any(|(_, sent)| sent.id == run.id) {
                broken += 1;
                record.line(&format!(
                    "BROKEN id={} is a closure and was run by {} of {}",
                    run.id, upstream.instance_id, upstream.service
                ));
            }
        }
    }
    let served = sent.iter().filter(|(_, sent)| sent.status == 200).count();
    record.say(&format!(
        "requests={} served={served} broken={broken} (closures that another service ran)",
        sent.len()
    ));
    Ok(ExitCode::from(u8::from(broken > 0)))
}

fn main() -> ExitCode {
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let result = std::fs::create_dir_all(&folder).and_then(|()| run(&folder));
    let _ = std::fs::remove_dir_all(&folder);
    result.unwrap_or_else(|error| {
        println!("cannot run: {error}");
        ExitCode::from(2)
    })
}
