//! Checks whether a target has crashed after it closed the connection of a request.
//!
//! Requests whose connections were lost without a crash, for example because a target
//! lost an answer, must not be held back for longer than the check takes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use agatehold_core::ids::Digest;
use agatehold_core::ids::ServiceName;
use agatehold_core::poison;
use agatehold_core::poison::CrashMark;
use agatehold_core::target_registry::TargetIdentity;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;

use crate::clock::duration;

use super::evidence;
use super::messages::NoCrashMessage;
use super::pool::OpenError;
use super::pool::open;
use super::traffic::TrafficState;

/// How long after the loss of a connection the target is contacted. A process that ends
/// may close its listener some time after its connections.
const CHECK_DELAY_MS: DurationMs = DurationMs(50);

/// How long a new connection must stay open. The listener of a process that ends still
/// accepts connections until it is closed, and closes them with itself.
const STAYS_OPEN: Duration = Duration::from_millis(150);

/// A check that ends later than this after the loss, for example because the process was
/// paused, may have reached a target that has been started again meanwhile.
const CHECK_MAX_MS: DurationMs = DurationMs(1_000);

/// How long the registry is watched for the end of a target that can't be reached.
const REGISTRY_WATCH_MS: DurationMs = DurationMs(9_000);

/// The interval at which the registry is looked at.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(500);

/// A connection that a target closed while it ran a request.
pub(super) struct LostConnection {
    /// The target process.
    pub(super) target: TargetIdentity,
    /// The address at which it was reached.
    pub(super) address: SocketAddr,
    /// Its service.
    pub(super) service: ServiceName,
    /// The request that it ran.
    pub(super) fingerprint: Digest,
    /// When the connection was lost.
    pub(super) lost_at: TimeMs,
    /// Whether the target was known to be leaving, or to have left.
    pub(super) has_left: bool,
    /// Whether the end of the connection was that of an answer without a length. The
    /// request is not held back then, since most such answers are complete.
    pub(super) is_answered: bool,
}

/// What a check has shown about a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckResult {
    /// No process listens at the target's address, or the registry says that it has ended.
    Crashed,
    /// The target has ended as planned: it was leaving before the connection was lost.
    Ended,
    /// The target accepts connections.
    Alive,
    /// The target can't be reached, or the check took too long.
    Unknown,
}

impl CheckResult {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Unknown => "unknown",
        }
    }
}

/// The lost connections that wait for a check, by address. An address with an entry has a
/// task that empties it.
type Waiting = Rc<RefCell<HashMap<SocketAddr, Vec<LostConnection>>>>;

/// Checks the targets of lost connections, one check at a time for each address, until the
/// task is cancelled.
pub(super) async fn run(state: Rc<TrafficState>, mut lost: UnboundedReceiver<LostConnection>) {
    let waiting = Waiting::default();
    while let Some(connection) = lost.recv().await {
        let address = connection.address;
        if let Some(others) = waiting.borrow_mut().get_mut(&address) {
            others.push(connection);
            continue;
        }
        waiting.borrow_mut().insert(address, vec![connection]);
        tokio::task::spawn_local(check_address(
            Rc::clone(&state),
            Rc::clone(&waiting),
            address,
        ));
    }
}

/// Checks one address until no lost connection waits for it.
///
/// A check answers for the connections that were lost at least [`CHECK_DELAY_MS`] before
/// it: the target may have crashed after it accepted the new connection.
async fn check_address(state: Rc<TrafficState>, waiting: Waiting, address: SocketAddr) {
    loop {
        tokio::time::sleep(duration(CHECK_DELAY_MS)).await;
        let started_at = state.shared.clock.now();
        let due: Vec<LostConnection> = match waiting.borrow_mut().get_mut(&address) {
            Some(connections) => connections
                .extract_if(.., |lost| started_at.since(lost.lost_at) >= CHECK_DELAY_MS)
                .collect(),
            None => return,
        };
        let result = contact(&state, address).await;
        let ended_at = state.shared.clock.now();
        let mut unknown = Vec::new();
        for lost in due {
            let is_late = ended_at.since(lost.lost_at) > CHECK_MAX_MS;
            let result = match result {
                CheckResult::Crashed if lost.has_left => CheckResult::Ended,
                _ if is_late => CheckResult::Unknown,
                _ => result,
            };
            apply(&state, &lost, result);
            if result == CheckResult::Unknown {
                unknown.push(lost);
            }
        }
        if !unknown.is_empty() {
            tokio::task::spawn_local(watch_registry(Rc::clone(&state), unknown));
        }
        let mut waiting = waiting.borrow_mut();
        if waiting.get(&address).is_none_or(Vec::is_empty) {
            waiting.remove(&address);
            return;
        }
    }
}

/// Opens a connection to a target, and leaves it to the pool if it stays open.
async fn contact(state: &TrafficState, address: SocketAddr) -> CheckResult {
    // A connection that closes at once was accepted by a process that ends, or by one that
    // takes no more connections; the second attempt tells.
    for _ in 0..2 {
        match open(address, Instant::now() + duration(CHECK_MAX_MS)).await {
            Ok(mut connection) => {
                if connection.stays_open(STAYS_OPEN).await {
                    let mut pool = state.pool.borrow_mut();
                    pool.count_opened(&mut connection);
                    pool.put_unused(address, connection);
                    return CheckResult::Alive;
                }
            }
            Err(OpenError::Refused) => return CheckResult::Crashed,
            Err(OpenError::Failed | OpenError::TimedOut | OpenError::SocketOptions) => {
                return CheckResult::Unknown;
            }
        }
    }
    CheckResult::Alive
}

/// Waits until the registry says that targets which can't be reached have ended. A target
/// that crashes with its host refuses no connection.
async fn watch_registry(state: Rc<TrafficState>, mut connections: Vec<LostConnection>) {
    while !connections.is_empty() {
        tokio::time::sleep(REGISTRY_INTERVAL).await;
        state.view();
        let now = state.shared.clock.now();
        connections.retain(|lost| {
            let is_registered = state.targets.borrow().is_registered(&lost.target);
            if !is_registered {
                let result = match lost.has_left {
                    true => CheckResult::Ended,
                    false => CheckResult::Crashed,
                };
                apply(&state, lost, result);
            }
            is_registered && now.since(lost.lost_at) < REGISTRY_WATCH_MS
        });
    }
}

/// Records what a check has shown, and tells the other daemons.
fn apply(state: &TrafficState, lost: &LostConnection, result: CheckResult) {
    let now = state.shared.clock.now();
    let own = &state.shared.settings.host.id;
    let age_ms = now.since(lost.lost_at);
    log::info!(
        "event=crash_check target={} service={} fingerprint={} result={} ms={}",
        lost.target.name,
        lost.service,
        lost.fingerprint,
        result.as_str(),
        age_ms.0
    );
    metrics::counter!("agatehold_crash_checks_total",
        "service" => lost.service.to_string(), "result" => result.as_str())
    .increment(1);
    match result {
        CheckResult::Crashed => {
            let mark = CrashMark {
                fingerprint: lost.fingerprint,
                target: lost.target.name.clone(),
                reporter: own.clone(),
                at: lost.lost_at,
                cleared: false,
            };
            let was_refused = poison::is_refused(&state.poison.borrow(), &lost.fingerprint, now);
            if poison::confirm(&mut state.poison.borrow_mut(), &mark, now) {
                evidence::send_crash_marks(
                    state,
                    &lost.service,
                    &lost.fingerprint,
                    was_refused,
                    now,
                );
            }
        }
        CheckResult::Alive if lost.is_answered => {
            if poison::revoke_marks(&mut state.poison.borrow_mut(), &lost.fingerprint) {
                evidence::send_survival(state, lost, now);
            }
        }
        CheckResult::Alive | CheckResult::Ended => {
            let is_withdrawn = poison::withdraw(
                &mut state.poison.borrow_mut(),
                &lost.fingerprint,
                &lost.target.name,
                own,
                lost.lost_at,
            );
            if is_withdrawn {
                let message = NoCrashMessage {
                    fingerprint: lost.fingerprint,
                    target: lost.target.name.clone(),
                    reporter: own.clone(),
                    age_ms,
                };
                evidence::send_no_crash(state, &lost.service, &message);
            }
        }
        CheckResult::Unknown => {}
    }
}
