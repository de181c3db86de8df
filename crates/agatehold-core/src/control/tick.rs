//! The periodic update of the control thread.

use rand::Rng;

use crate::addresses::choose_entries;
use crate::health;
use crate::health::record_outcomes;
use crate::health::refresh_baselines;
use crate::health::write_verdicts;
use crate::idempotency::CLAIM_RETENTION_MS;
use crate::membership;
use crate::note::Head;
use crate::outcome::OutcomeReport;
use crate::poison::PoisonTable;
use crate::poison::is_blamed;
use crate::replication;
use crate::replication::ReplicationCommand;
use crate::replication::watcher_rank;
use crate::routing::Preference;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Command;
use super::ControlTables;
use super::StateChange;
use super::exchange::build_digest;
use super::exchange::record_peer_change;
use super::leaving;
use super::permits;

/// The interval at which the slow bounds of the services are published, that is,
/// the latencies above which answers count as slow.
const SLOW_BOUNDS_PERIOD_MS: DurationMs = DurationMs(500);

/// The minimum time between two choices of the entry hosts. One choice takes
/// milliseconds in a fleet of the design size, and membership changes come in
/// bursts.
const ENTRIES_PERIOD_MS: DurationMs = DurationMs(500);

/// The interval at which a new lease for claim records is created. All claims
/// made in that time share the lease, so that a claim costs only one platform
/// call.
const CLAIM_LEASE_PERIOD_MS: DurationMs = DurationMs(3_600_000);

/// How long to wait before requesting the lease again if it was not created.
const CLAIM_LEASE_RETRY_MS: DurationMs = DurationMs(5_000);

/// How long claims are bound to a lease if no other one can be created.
const CLAIM_LEASE_USE_MS: DurationMs = DurationMs(2 * CLAIM_LEASE_PERIOD_MS.0);

/// How long a lease for claim records lasts. A claim that is bound to it as late as
/// [`may_use_claim_lease`] allows is still kept for [`CLAIM_RETENTION_MS`].
pub const CLAIM_LEASE_TTL_MS: DurationMs = DurationMs(CLAIM_RETENTION_MS.0 + CLAIM_LEASE_USE_MS.0);

/// Returns whether a claim that is made at `now` may be bound to the lease that was
/// requested at `requested_at`.
///
/// Check this for each claim: while the process was paused, or no lease could be
/// created, most of the lease's time may have passed. The platform would then drop the
/// claim early, and the request could run again.
pub fn may_use_claim_lease(requested_at: TimeMs, now: TimeMs) -> bool {
    now.since(requested_at) <= CLAIM_LEASE_USE_MS
}

/// The interval at which an entry host of a service with ejections reads the host
/// list; an exclusion requires a list that is at most 15 s old.
const EJECTION_LIST_PERIOD_MS: DurationMs = DurationMs(4_000);

/// Updates the tables once, in dependency order, and returns the commands to
/// perform.
///
/// Each step uses the results of earlier ones: health verdicts and leaving
/// targets, for instance, decide which permits are written.
pub fn tick(
    tables: &mut ControlTables,
    poison: &PoisonTable,
    now: TimeMs,
    rng: &mut impl Rng,
) -> Vec<Command> {
    let mut commands = Vec::new();
    run_health(tables, poison, now, &mut commands);
    run_replication(tables, now, rng, &mut commands);
    run_membership(tables, now, rng, &mut commands);
    list_hosts(tables, now, &mut commands);
    create_claim_lease(tables, now, &mut commands);
    leaving::run(tables, now, rng, &mut commands);
    permits::run(tables, now, rng, &mut commands);
    choose_entry_hosts(tables, now, &mut commands);
    publish_phase(tables, &mut commands);
    commands
}

/// Stores reports of request outcomes, to be processed in the next tick.
pub fn record_reports(
    tables: &mut ControlTables,
    reports: impl IntoIterator<Item = OutcomeReport>,
) {
    tables.reports.extend(reports);
}

fn run_health(
    tables: &mut ControlTables,
    poison: &PoisonTable,
    now: TimeMs,
    commands: &mut Vec<Command>,
) {
    let reports = std::mem::take(&mut tables.reports);
    let config = &tables.replication.log.config;
    record_outcomes(&mut tables.health, config, &reports, |report| {
        is_blamed(poison, &report.fingerprint, &report.target)
    });
    refresh_baselines(&mut tables.health, config);
    let publish_due = tables
        .slow_bounds_published_at
        .is_none_or(|at| now.since(at) >= SLOW_BOUNDS_PERIOD_MS);
    if publish_due {
        tables.slow_bounds_published_at = Some(now);
        commands.push(Command::PublishSlowBounds);
    }
    let membership = &tables.membership;
    let own = &membership.own;
    let evaluation = health::evaluate_targets(
        &mut tables.health,
        config,
        &tables.permits,
        &own.id,
        now,
        |host| {
            if *host == own.id {
                return Some(own.failure_domain.clone());
            }
            let row = membership.peers.get(host)?;
            Some(row.failure_domain.clone())
        },
    );
    if evaluation.own_path_suspected != tables.evaluation.own_path_suspected {
        let change = StateChange::OwnPath(evaluation.own_path_suspected);
        commands.push(Command::Log(change));
    }
    write_verdicts(&evaluation, &tables.cells);
    tables.evaluation = evaluation;
    log_preferences(tables, commands);
}

/// Logs the target preferences that changed. A target without a verdict counts
/// as preferred.
fn log_preferences(tables: &mut ControlTables, commands: &mut Vec<Command>) {
    let verdicts = &tables.evaluation.verdicts;
    let mut changed = Vec::new();
    for (name, verdict) in verdicts.rows() {
        let logged = tables.logged_preferences.get(name).copied();
        if logged.unwrap_or(Preference::Preferred) != verdict.preference {
            changed.push((name.clone(), verdict.preference));
        }
    }
    for (name, logged) in tables.logged_preferences.rows() {
        if *logged != Preference::Preferred && !verdicts.contains(name) {
            changed.push((name.clone(), Preference::Preferred));
        }
    }
    for (name, preference) in changed {
        tables.logged_preferences.insert(name.clone(), preference);
        commands.push(Command::Log(StateChange::Target(name, preference)));
    }
    let config = &tables.replication.log.config;
    tables
        .logged_preferences
        .retain(|name, _| config.targets.contains(name));
}

fn run_replication(
    tables: &mut ControlTables,
    now: TimeMs,
    rng: &mut impl Rng,
    commands: &mut Vec<Command>,
) {
    for command in replication::run(&mut tables.replication, &mut tables.membership, now, rng) {
        if let ReplicationCommand::PublishConfig { head } = &command {
            tables.entries_outdated = true;
            if *head != Head::default() {
                commands.push(Command::Log(StateChange::Note(*head)));
            }
        }
        commands.push(Command::NoteReplication(command));
    }
}

fn run_membership(
    tables: &mut ControlTables,
    now: TimeMs,
    rng: &mut impl Rng,
    commands: &mut Vec<Command>,
) {
    let (partners, changes) = membership::run(&mut tables.membership, now, rng);
    for change in changes {
        record_peer_change(tables, change, commands);
    }
    for host in partners {
        let digest = build_digest(tables, &host, now);
        commands.push(Command::Exchange(host, Box::new(digest)));
    }
}

fn list_hosts(tables: &mut ControlTables, now: TimeMs, commands: &mut Vec<Command>) {
    let is_watcher = watcher_rank(&tables.membership).is_some();
    let mut period = membership::host_list_period(&tables.membership, is_watcher);
    if permits::is_entry_host_with_ejections(tables) {
        period = period.min(EJECTION_LIST_PERIOD_MS);
    }
    let due = tables
        .host_list_requested_at
        .is_none_or(|at| now.since(at) >= period);
    if !due {
        return;
    }
    tables.host_list_requested_at = Some(now);
    commands.push(Command::ListHosts);
}

fn create_claim_lease(tables: &mut ControlTables, now: TimeMs, commands: &mut Vec<Command>) {
    let is_fresh = tables
        .claim_lease_created_at
        .is_some_and(|at| now.since(at) < CLAIM_LEASE_PERIOD_MS);
    let is_requested = tables
        .claim_lease_requested_at
        .is_some_and(|at| now.since(at) < CLAIM_LEASE_RETRY_MS);
    if is_fresh || is_requested || !tables.replication.start.done {
        return;
    }
    tables.claim_lease_requested_at = Some(now);
    commands.push(Command::CreateClaimLease);
}

fn choose_entry_hosts(tables: &mut ControlTables, now: TimeMs, commands: &mut Vec<Command>) {
    let is_too_early = tables
        .entries_chosen_at
        .is_some_and(|at| now.since(at) < ENTRIES_PERIOD_MS);
    if !tables.entries_outdated || is_too_early {
        return;
    }
    tables.entries_outdated = false;
    tables.entries_chosen_at = Some(now);
    tables.entries = choose_entries(&tables.replication.log.config, &tables.membership);
    commands.push(Command::PublishEntries);
}

fn publish_phase(tables: &mut ControlTables, commands: &mut Vec<Command>) {
    let phase = tables.membership.own.phase;
    if tables.published_phase == Some(phase) {
        return;
    }
    tables.published_phase = Some(phase);
    tables.entries_outdated = true;
    commands.push(Command::PublishPhase(phase));
    commands.push(Command::Log(StateChange::Phase(phase)));
}
