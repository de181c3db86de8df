//! Answers the requests received on the admin address.

use std::sync::atomic::Ordering;

use agatehold_core::config::TargetState;
use agatehold_core::control;
use agatehold_core::ejection::PermitState;
use agatehold_core::ids::ServiceName;
use agatehold_core::membership;
use agatehold_core::membership::HostPhase;
use agatehold_core::membership::PeerRow;
use agatehold_core::membership::Standing;
use agatehold_core::replication::NoteSource;
use agatehold_core::routing::Preference;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::admin::DrainAnswer;
use agatehold_wire::admin::EjectionEntry;
use agatehold_wire::admin::EjectionState;
use agatehold_wire::admin::EjectionsAnswer;
use agatehold_wire::admin::HeadJson;
use agatehold_wire::admin::HostEntry;
use agatehold_wire::admin::HostState;
use agatehold_wire::admin::HostsAnswer;
use agatehold_wire::admin::PlatformState;
use agatehold_wire::admin::ServiceCapacity;
use agatehold_wire::admin::StatusAnswer;
use agatehold_wire::admin::TargetEntry;
use agatehold_wire::admin::TargetRank;
use agatehold_wire::admin::TargetsAnswer;

use super::AdminRequest;
use super::ControlLoop;

/// The time without an answer after which the platform counts as unreachable. A
/// watch of the head returns after at most three seconds.
const PLATFORM_TIMEOUT_MS: DurationMs = DurationMs(9_000);

fn host_state(phase: HostPhase) -> HostState {
    match phase {
        HostPhase::Starting => HostState::Starting,
        HostPhase::Serving | HostPhase::Isolated => HostState::Serving,
        HostPhase::Leaving => HostState::Leaving,
    }
}

fn peer_state(row: &PeerRow) -> HostState {
    match row.standing {
        Standing::Gone { .. } => HostState::Gone,
        Standing::Suspected { .. } => HostState::Suspected,
        Standing::Alive | Standing::Accused { .. } => host_state(row.phase),
    }
}

impl ControlLoop {
    /// Answers a request. Send errors are ignored: they mean that the admin
    /// handler has timed out.
    pub(super) fn answer_admin(&mut self, request: AdminRequest) {
        match request {
            AdminRequest::Status(reply) => {
                let _ = reply.try_send(self.status());
            }
            AdminRequest::Hosts(reply) => {
                let _ = reply.try_send(self.hosts());
            }
            AdminRequest::Targets(reply) => {
                let _ = reply.try_send(self.targets());
            }
            AdminRequest::Ejections(reply) => {
                let _ = reply.try_send(self.ejections());
            }
            AdminRequest::Notes(notes, reply) => {
                let acceptance = self.apply_notes(&NoteSource::Tool, &notes);
                let log = &self.tables.replication.log;
                let is_held = notes
                    .records
                    .last()
                    .is_some_and(|record| log.is_ancestor(record.header.head()));
                let _ = reply.try_send((acceptance, is_held, self.head_json()));
            }
            AdminRequest::Drain(reply) => {
                let now = self.shared.clock.now();
                control::begin_stop(&mut self.tables, now, &mut self.rng);
                let _ = reply.try_send(DrainAnswer {
                    state: host_state(self.tables.membership.own.phase),
                    in_flight: self.in_flight(),
                });
            }
        }
    }

    fn in_flight(&self) -> u32 {
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        u32::try_from(in_flight).unwrap_or(u32::MAX)
    }

    fn status(&self) -> StatusAnswer {
        let now = self.shared.clock.now();
        let own = &self.tables.membership.own;
        let contact = membership::contact(&self.tables.membership, now);
        let replication = &self.tables.replication;
        let platform = &replication.platform;
        let platform_state = match (platform.asked_at, platform.answered_at) {
            (None, _) => PlatformState::Untried,
            (Some(_), Some(answered)) if now.since(answered) <= PLATFORM_TIMEOUT_MS => {
                PlatformState::Reachable
            }
            (Some(_), _) => PlatformState::Unreachable,
        };
        StatusAnswer {
            host: own.id.clone(),
            failure_domain: own.failure_domain.clone(),
            incarnation: own.incarnation,
            version: env!("CARGO_PKG_VERSION").into(),
            state: host_state(own.phase),
            isolated: own.phase == HostPhase::Isolated,
            head: self.head_json(),
            head_confirmed_age_ms: replication.confirmed_at().map(|at| now.since(at).0),
            platform: platform_state,
            known_hosts: u32::try_from(contact.known).unwrap_or(u32::MAX),
            reached_hosts: u32::try_from(contact.reached).unwrap_or(u32::MAX),
            in_flight: self.in_flight(),
            uptime_ms: self.shared.clock.uptime().0,
        }
    }

    /// Returns the JSON form of the head; `None` before the first note.
    pub(super) fn head_json(&self) -> Option<HeadJson> {
        let log = &self.tables.replication.log;
        let header = log.header(log.head.number)?;
        Some(HeadJson {
            number: log.head.number.0,
            hash: log.head.hash,
            id: header.id,
            config: header.config,
        })
    }

    fn hosts(&self) -> HostsAnswer {
        let now = self.shared.clock.now();
        let own = &self.tables.membership.own;
        let mut hosts = vec![HostEntry {
            id: own.id.clone(),
            failure_domain: own.failure_domain.clone(),
            incarnation: own.incarnation,
            state: host_state(own.phase),
            note: self.tables.replication.log.head.number.0,
            heartbeat_age_ms: Some(0),
            peers: Some(own.peer_address),
            callers: Some(own.caller_address),
        }];
        for (id, row) in self.tables.membership.peers.rows() {
            hosts.push(HostEntry {
                id: id.clone(),
                failure_domain: row.failure_domain.clone(),
                incarnation: row.incarnation,
                state: peer_state(row),
                note: row.head.0,
                heartbeat_age_ms: row.last_heard.map(|at| now.since(at).0),
                peers: Some(row.peer_address),
                callers: row.caller_address,
            });
        }
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        HostsAnswer { hosts }
    }

    fn targets(&self) -> TargetsAnswer {
        let now = self.shared.clock.now();
        let mut targets = Vec::new();
        for (name, row) in self.tables.replication.log.config.targets.rows() {
            let Some(cell) = self.tables.cells.get(name) else {
                continue;
            };
            let health = self.tables.health.targets.get(name);
            let report = cell.load_report(now);
            targets.push(TargetEntry {
                name: name.clone(),
                service: row.service.clone(),
                address: row.address,
                failure_domain: row.failure_domain.clone(),
                state: if cell.is_leaving() {
                    TargetState::Leaving
                } else {
                    row.state
                },
                rank: target_rank(cell.preference(), cell.is_excluded(now)),
                in_flight: cell.in_flight(),
                slots: row.slots.0,
                reported_in_flight: report.map(|(others, _)| others),
                reported_age_ms: report.map(|(_, age)| age.0),
                evidence: health.map_or(0.0, |row| row.evidence().get()),
                median_ms: health.and_then(|row| row.median.get(1)),
            });
        }
        TargetsAnswer { targets }
    }

    fn ejections(&self) -> EjectionsAnswer {
        let now = self.shared.clock.now();
        let mut answer = EjectionsAnswer::default();
        for (service, held) in self.tables.permits.records.rows() {
            for (target, entry) in held.record.entries.rows() {
                let seen = held.seen.get(target).map_or(now, |(_, at)| *at);
                answer.ejections.push(EjectionEntry {
                    target: target.clone(),
                    service: service.clone(),
                    state: match entry.state {
                        PermitState::Ejected => EjectionState::Ejected,
                        PermitState::Returning => EjectionState::Returning,
                    },
                    age_ms: now.since(seen).0,
                    confirmed_age_ms: now.since(held.confirmed_at).0,
                });
            }
        }
        for (service, policy) in self.tables.replication.log.config.services.rows() {
            let permits = self.tables.permits.records.get(service);
            answer.services.push(ServiceCapacity {
                service: service.clone(),
                floor: policy.floor.0,
                healthy: self.healthy_targets(service, now),
                permits: permits.map_or(0, |held| {
                    u32::try_from(held.record.entries.len()).unwrap_or(u32::MAX)
                }),
            });
        }
        answer
    }

    fn healthy_targets(&self, service: &ServiceName, now: TimeMs) -> u32 {
        let mut healthy = 0;
        for (name, row) in self.tables.replication.log.config.targets.rows() {
            let Some(cell) = self.tables.cells.get(name) else {
                continue;
            };
            let usable = !cell.is_leaving()
                && !cell.is_excluded(now)
                && cell.preference() != Preference::Avoided;
            healthy += u32::from(row.service == *service && usable);
        }
        healthy
    }
}

fn target_rank(preference: Preference, excluded: bool) -> TargetRank {
    match preference {
        _ if excluded => TargetRank::Excluded,
        Preference::Preferred => TargetRank::Preferred,
        Preference::Ramping => TargetRank::Ramping,
        Preference::Avoided => TargetRank::Avoided,
    }
}
