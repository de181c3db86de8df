//! The store turns a third of the daemons away, those that watch it first, and then another
//! third. Daemons that it serves all the while are asked for what they follow.
//!
//! `turned_away config`: the operator moves a route (rule CONFIG).
//! `turned_away drain`: an upstream leaves (rule DRAIN).

use std::path::PathBuf;
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

const DAEMONS: usize = 9;

/// The share of the machines that the store may turn away (`fleetbench kinds`: 0.35).
const TURNED_AWAY_MAX: usize = DAEMONS * 35 / 100;

/// How long it turns them away (the site file: `for_s = 9.0`).
const TURNED_AWAY: Duration = ms(9_000);

/// The bounds `config_propagation` and `drain`.
const BOUND: Duration = ms(2_000);

/// How long after its report a leaving upstream goes on: `drain` and a little longer.
const LEAVING: Duration = ms(4_000);

/// The daemons that the settings of all name as seeds.
const SEEDS: [usize; 3] = [2, 6, 7];

/// How long a run takes (the site file: 310 ms for closures).
const WORK: Duration = ms(300);

/// The clients of each daemon.
const CLIENTS: usize = 3;

const HOST: &str = "gate.example";

fn configuration(version: u32, service: &str) -> String {
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{{\"name\":\"closures\",\"host\":\"{HOST}\",\"prefix\":\"/closures/\",\"service\":\"{service}\",\"kind\":\"unsafe\",\"timeout\":\"5s\",\"latency_objective\":\"1500ms\",\"max_attempts\":2,\"priority\":0}}],\
         \"services\":[{{\"name\":\"cierres\",\"health_path\":\"/health\",\"max_connections\":390}},{{\"name\":\"archivo\",\"health_path\":\"/health\",\"max_connections\":390}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":1048576,\"header_timeout\":\"3s\",\"idle_timeout\":\"10s\"}}}}"
    )
}

struct Fleet {
    store: Store,
    daemons: Vec<Daemon>,
    upstreams: Vec<Upstream>,
}

fn start(folder: &std::path::Path) -> std::io::Result<Fleet> {
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
    store.put("op/config", &configuration(1, "cierres"));
    let mut daemons = Vec::new();
    for number in 0..DAEMONS {
        daemons.push(Daemon::prepare(number, folder)?);
    }
    let seeds: Vec<_> = SEEDS
        .iter()
        .map(|number| daemons[*number].control())
        .collect();
    for daemon in &mut daemons {
        // The numbers of entrances are those of the daemons.
        let (_, address) = store.open_entrance()?;
        daemon.start(address, &seeds)?;
    }
    Ok(Fleet {
        store,
        daemons,
        upstreams,
    })
}

/// What a client has sent to a daemon.
type Sent = Arc<Mutex<Vec<(usize, Exchange)>>>;

/// Sends requests to a daemon, one after the other, until `stop` is set.
fn run_client(daemon: &Daemon, sent: &Sent, stop: &Arc<AtomicBool>, record: &Arc<Record>) {
    let (number, address) = (daemon.number, daemon.callers());
    let (sent, stop, record) = (Arc::clone(sent), Arc::clone(stop), Arc::clone(record));
    std::thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let exchange = client::send(address, "POST", "/closures/7", HOST, 5_000);
            record.line(&format!(
                "sent id={} daemon={number} at={:.3} status={} body=\"{}\"",
                exchange.id,
                record.at(exchange.sent_at),
                exchange.status,
                exchange.body.trim()
            ));
            sent.lock()
                .expect("no holder panics")
                .push((number, exchange));
            std::thread::sleep(ms(50));
        }
    });
}

fn run(is_drain: bool, folder: &std::path::Path) -> std::io::Result<ExitCode> {
    let has_trouble = std::env::var("TROUBLE")
        .is_ok_and(|value| value == "0")
        .eq(&false);
    let record = Arc::new(Record::create());
    let Fleet {
        store,
        mut daemons,
        upstreams,
    } = start(folder)?;
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_until_ready(ms(10_000)))
    {
        record.say("cannot run: a daemon did not become ready");
        return Ok(ExitCode::from(2));
    }
    std::thread::sleep(ms(8_000));
    let begin = Instant::now();
    let first = store.watching(ms(4_000));
    let mut second = Vec::new();
    if has_trouble {
        record.say(&format!(
            "turned away for 9 s: daemons {first:?}, which watch the store"
        ));
        if first.is_empty() || first.len() > TURNED_AWAY_MAX {
            record.say("cannot run: not as many daemons watch the store as expected");
            return Ok(ExitCode::from(2));
        }
        for entrance in &first {
            store.turn_away(*entrance, true);
        }
        sleep_until(begin + TURNED_AWAY - ms(200));
        second = store.watching(ms(4_000));
        second.retain(|entrance| !first.contains(entrance));
        sleep_until(begin + TURNED_AWAY);
        for entrance in &first {
            store.turn_away(*entrance, false);
        }
        record.say(&format!(
            "served again: {first:?}; turned away for 9 s: daemons {second:?}"
        ));
        if second.is_empty() || second.len() > TURNED_AWAY_MAX {
            record.say("cannot run: not as many daemons watch the store as expected");
            return Ok(ExitCode::from(2));
        }
        for entrance in &second {
            store.turn_away(*entrance, true);
        }
    } else {
        sleep_until(begin + TURNED_AWAY);
    }
    let mut calm = Vec::new();
    for daemon in &daemons {
        if !first.contains(&daemon.number) && !second.contains(&daemon.number) {
            calm.push(daemon.number);
        }
    }
    if !has_trouble {
        calm = (0..DAEMONS).collect();
    }
    record.say(&format!("undisturbed since their start: daemons {calm:?}"));
    let (sent, stop) = (Sent::default(), Arc::new(AtomicBool::new(false)));
    for number in calm.iter().flat_map(|number| [number; CLIENTS]) {
        run_client(&daemons[*number], &sent, &stop, &record);
    }
    std::thread::sleep(ms(50));
    let leaving = &upstreams[0];
    if is_drain {
        store.put(&leaving.key(), &leaving.entry("draining", zone_of(0), 2));
    } else {
        store.put("op/config", &configuration(2, "archivo"));
    }
    let confirmed = Instant::now();
    record.say(match is_drain {
        true => "confirmed by the store: upstream i-0 is draining",
        false => "confirmed by the store: version 2, which moves the route from cierres to archivo",
    });
    if is_drain {
        sleep_until(confirmed + LEAVING);
        leaving.end();
        store.delete(&leaving.key());
        record.say("upstream i-0 has ended, its entry is removed");
    }
    sleep_until(begin + TURNED_AWAY * 2);
    for entrance in &second {
        store.turn_away(*entrance, false);
    }
    if has_trouble {
        record.say(&format!("served again: {second:?}"));
    }
    std::thread::sleep(ms(1_500));
    stop.store(true, Ordering::Relaxed);
    std::thread::sleep(ms(500));
    let sent = sent.lock().expect("no holder panics");
    let limit = confirmed + BOUND;
    let (mut broken, mut failed) = (0, 0);
    let mut latest = Duration::ZERO;
    for upstream in &upstreams {
        for run in upstream.runs() {
            record.line(&format!(
                "run id={} upstream={} service={} at={:.3} answered={}",
                run.id,
                upstream.instance_id,
                upstream.service,
                record.at(run.at),
                run.is_answered
            ));
            let Some((daemon, exchange)) = sent.iter().find(|(_, sent)| sent.id == run.id) else {
                continue;
            };
            let is_broken = match is_drain {
                true => upstream.instance_id == leaving.instance_id && run.at > limit,
                false => upstream.service == "cierres" && exchange.sent_at > limit,
            };
            if !is_broken {
                continue;
            }
            broken += 1;
            let since = match is_drain {
                true => run.at - confirmed,
                false => exchange.sent_at - confirmed,
            };
            latest = latest.max(since);
            record.line(&format!(
                "BROKEN id={} daemon={daemon} upstream={} {:.3} s after the confirmation",
                run.id,
                upstream.instance_id,
                since.as_secs_f64()
            ));
        }
    }
    for (_, exchange) in sent.iter() {
        failed += usize::from(exchange.status != 200);
    }
    record.say(&format!(
        "requests={} not_served={failed} broken={broken} latest={:.3} s after the confirmation (bound 2 s)",
        sent.len(),
        latest.as_secs_f64()
    ));
    for daemon in &mut daemons {
        if let Some(status) = daemon.ended() {
            record.say(&format!(
                "daemon {} has ended by itself: {status}",
                daemon.number
            ));
        }
        daemon.kill();
    }
    Ok(ExitCode::from(u8::from(broken > 0)))
}

fn main() -> ExitCode {
    let is_drain = std::env::args()
        .nth(1)
        .is_some_and(|argument| argument == "drain");
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let folder = PathBuf::from(&folder);
    let result = std::fs::create_dir_all(&folder).and_then(|()| run(is_drain, &folder));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    result.unwrap_or_else(|error| {
        println!("cannot run: {error}");
        ExitCode::from(2)
    })
}
