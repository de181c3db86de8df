//! Which targets are leaving, by the note, the host list, their own answers
//! or a peer; the earliest counts.

use std::collections::BTreeSet;

use rand::Rng;

use crate::config::TargetState;
use crate::ids::TargetName;
use crate::membership;
use crate::membership::LeavingNews;
use crate::units::DurationMs;
use crate::units::TimeMs;

use super::Command;
use super::ControlTables;
use super::StateChange;
use super::exchange::NEWS_MAX;

/// How long a mark lasts after the list or an answer last said so. Daemons
/// renew it while they hold the reason, so that it only has to outlast gossip.
const MARK_LIFETIME_MS: DurationMs = DurationMs(30_000);

/// The time after which the host list, which lags by 10 s, is right about a
/// target that said itself that it is leaving.
const LIST_SETTLED_MS: DurationMs = DurationMs(30_000);

/// The neighbours that are told at once of a target that is leaving.
const PUSHES: usize = 4;

/// Returns what peers have to know, newest first.
pub(super) fn news(tables: &ControlTables, now: TimeMs) -> Vec<LeavingNews> {
    let mut news = Vec::new();
    for (target, at) in tables.leaving.rows() {
        news.push(LeavingNews {
            target: target.clone(),
            age: now.since(*at),
        });
    }
    news.sort_by_key(|row| row.age);
    news.truncate(NEWS_MAX);
    news
}

/// Merges what a peer told.
pub(super) fn merge(tables: &mut ControlTables, news: &[LeavingNews], now: TimeMs) {
    for row in news {
        if !tables.spread.log.config.targets.contains(&row.target) {
            continue;
        }
        let at = now - row.age;
        let held = tables.leaving.get_or_insert(row.target.clone(), || at);
        *held = at.max(*held);
    }
}

/// Renews and ends the marks, and writes them to the cells.
pub(super) fn run(
    tables: &mut ControlTables,
    now: TimeMs,
    rng: &mut impl Rng,
    commands: &mut Vec<Command>,
) {
    trust_settled_list(tables, now);
    for name in own_reasons(tables) {
        tables.leaving.insert(name, now);
    }
    let config = &tables.spread.log.config;
    tables
        .leaving
        .retain(|name, at| config.targets.contains(name) && now.since(*at) <= MARK_LIFETIME_MS);
    // Few targets leave at one time. Looking each of 9,900 targets up in
    // several tables took more time than the rest of the tick.
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
        membership::push_urgently(&mut tables.membership, PUSHES, rng);
    }
}

/// Returns the targets that the host list or their own answers call leaving.
fn own_reasons(tables: &ControlTables) -> Vec<TargetName> {
    let mut names = Vec::new();
    for (name, is_leaving) in tables.listed_targets.rows() {
        if *is_leaving {
            names.push(name.clone());
        }
    }
    for (name, verdict) in tables.judgement.verdicts.rows() {
        if verdict.leaving {
            names.push(name.clone());
        }
    }
    names
}

/// Ends the marks that targets set themselves and that the host list, once it
/// had the time to follow, does not confirm: the target has started again.
fn trust_settled_list(tables: &mut ControlTables, now: TimeMs) {
    for (name, row) in tables.health.targets.rows_mut() {
        let is_listed_live = tables.listed_targets.get(name) == Some(&false);
        let is_settled = row
            .leaving_at
            .is_some_and(|at| now.since(at) > LIST_SETTLED_MS);
        if is_listed_live && is_settled {
            row.leaving_at = None;
        }
    }
}
