//! Decides which targets are leaving.
//!
//! The sources are the release note, the platform's host list, the targets' own
//! answers and peers. A target is leaving as soon as one of them says so.

use std::collections::BTreeSet;

use rand::Rng;

use crate::config::TargetState;
use crate::ids::TargetName;
use crate::membership;
use crate::membership::LeavingUpdate;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Command;
use super::ControlTables;
use super::StateChange;
use super::exchange::DIGEST_ROWS_MAX;

/// How long a target counts as leaving after the host list or one of its answers
/// last said so. Daemons renew the mark for as long as their own list or answers
/// say so, so its lifetime only has to be longer than gossip takes to reach all
/// daemons.
const MARK_LIFETIME_MS: DurationMs = DurationMs(30_000);

/// The age of a target's own answer that it is leaving at which the host list,
/// which lags by 10 s, overrides the answer.
const LIST_TRUSTED_AFTER_MS: DurationMs = DurationMs(30_000);

/// The number of neighbours that are told immediately when a target begins to
/// leave.
const PUSHED_NEIGHBOURS: usize = 4;

/// Returns the leaving targets to include in a digest, newest first.
pub(super) fn digest_updates(tables: &ControlTables, now: TimeMs) -> Vec<LeavingUpdate> {
    let mut updates = Vec::new();
    for (target, at) in tables.leaving.rows() {
        updates.push(LeavingUpdate {
            target: target.clone(),
            age: now.since(*at),
        });
    }
    updates.sort_by_key(|row| row.age);
    updates.truncate(DIGEST_ROWS_MAX);
    updates
}

/// Merges the leaving targets in a digest from a peer.
pub(super) fn merge(tables: &mut ControlTables, updates: &[LeavingUpdate], now: TimeMs) {
    for row in updates {
        if !tables.replication.log.config.targets.contains(&row.target) {
            continue;
        }
        let at = now - row.age;
        let held = tables.leaving.get_or_insert(row.target.clone(), || at);
        *held = at.max(*held);
    }
}

/// Updates which targets are leaving, and writes that to the target cells.
pub(super) fn run(
    tables: &mut ControlTables,
    now: TimeMs,
    rng: &mut impl Rng,
    commands: &mut Vec<Command>,
) {
    clear_outdated_answers(tables, now);
    for name in locally_known(tables) {
        tables.leaving.insert(name, now);
    }
    let config = &tables.replication.log.config;
    tables
        .leaving
        .retain(|name, at| config.targets.contains(name) && now.since(*at) <= MARK_LIFETIME_MS);
    // Collect the leaving targets first, since only a few leave at a time.
    // Looking up each of 9,900 targets in several tables took longer than the
    // rest of the tick.
    let mut names: BTreeSet<&TargetName> = tables.leaving.keys().collect();
    for (name, target) in config.targets.rows() {
        if target.state == TargetState::Leaving {
            names.insert(name);
        }
    }
    let mut is_new = false;
    for (name, cell) in tables.cells.rows() {
        let leaving = names.contains(name);
        cell.set_leaving(leaving);
        if leaving == tables.logged_leaving.contains(name) {
            continue;
        }
        if leaving {
            tables.logged_leaving.insert(name.clone(), ());
            is_new = true;
        } else {
            tables.logged_leaving.remove(name);
        }
        let change = StateChange::Leaving(name.clone(), leaving);
        commands.push(Command::Log(change));
    }
    let cells = &tables.cells;
    tables
        .logged_leaving
        .retain(|name, ()| cells.contains(name));
    if is_new {
        membership::queue_urgent_exchanges(&mut tables.membership, PUSHED_NEIGHBOURS, rng);
    }
}

/// Returns the targets that are leaving according to the host list or their own
/// answers to this daemon.
fn locally_known(tables: &ControlTables) -> Vec<TargetName> {
    let mut names = Vec::new();
    for (name, is_leaving) in tables.listed_targets.rows() {
        if *is_leaving {
            names.push(name.clone());
        }
    }
    for (name, verdict) in tables.evaluation.verdicts.rows() {
        if verdict.leaving {
            names.push(name.clone());
        }
    }
    names
}

/// Forgets that a target's own answer said that it is leaving, if the host list
/// has had time to catch up and lists the target as not leaving: the target has
/// restarted.
fn clear_outdated_answers(tables: &mut ControlTables, now: TimeMs) {
    for (name, row) in tables.health.targets.rows_mut() {
        let is_listed_live = tables.listed_targets.get(name) == Some(&false);
        let is_answer_outdated = row
            .leaving_at
            .is_some_and(|at| now.since(at) > LIST_TRUSTED_AFTER_MS);
        if is_listed_live && is_answer_outdated {
            row.leaving_at = None;
        }
    }
}
