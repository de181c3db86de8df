//! Executes the commands that the control logic returns.

use agatehold_core::control::Command;
use agatehold_core::control::StateChange;
use agatehold_core::ids::HostId;
use agatehold_core::membership;
use agatehold_core::membership::HostPhase;
use agatehold_core::membership::PeerChange;
use agatehold_core::replication;
use agatehold_core::replication::NoteSource;
use agatehold_core::replication::ReplicationCommand;

use crate::peers::PeerJob;
use crate::platform::PlatformJob;
use crate::shared::Phase;

use super::ControlLoop;

impl ControlLoop {
    /// Executes commands in order.
    pub(super) fn apply(&mut self, commands: Vec<Command>) {
        for command in commands {
            self.apply_one(command);
        }
    }

    fn apply_one(&mut self, command: Command) {
        match command {
            Command::Exchange(host, digest) => self.exchange(host, *digest),
            Command::NoteReplication(command) => self.apply_replication(command),
            Command::ListHosts => self.push_platform_job(PlatformJob::ListHosts),
            Command::ListPermits => self.push_platform_job(PlatformJob::ListPermits),
            Command::ReadPermit(service) => {
                self.push_platform_job(PlatformJob::ReadPermit(service));
            }
            Command::WritePermit(write) => self.push_platform_job(PlatformJob::WritePermit(write)),
            Command::CreateClaimLease => self.push_platform_job(PlatformJob::CreateClaimLease),
            Command::PublishEntries => self.publish_entries(),
            Command::PublishPhase(phase) => self.publish_phase(phase),
            Command::PublishSlowBounds => self.publish_slow_bounds(),
            Command::Log(change) => {
                if let StateChange::Peer(PeerChange::OwnIncarnationRaised(later)) = &change {
                    self.shared.raise_incarnation(*later);
                }
                log::info!("{change}");
            }
        }
    }

    fn exchange(&mut self, host: HostId, digest: membership::PeerDigest) {
        let Some(row) = self.tables.membership.peers.get(&host) else {
            return;
        };
        self.peers.push(PeerJob::Exchange {
            address: row.peer_address,
            host,
            digest: Box::new(digest),
        });
    }

    fn apply_replication(&mut self, command: ReplicationCommand) {
        match command {
            ReplicationCommand::ReadHead => self.push_head_job(PlatformJob::ReadHead),
            ReplicationCommand::WatchHead { wait_ms } => {
                self.push_head_job(PlatformJob::WatchHead(wait_ms));
            }
            ReplicationCommand::ReadNotes { after } => {
                if !self.platform.push(PlatformJob::ReadNotes(after)) {
                    let source = NoteSource::Platform;
                    replication::request_failed(&mut self.tables.replication, &source);
                }
            }
            ReplicationCommand::AskPeer { host, request } => {
                let Some(row) = self.tables.membership.peers.get(&host) else {
                    replication::request_failed(
                        &mut self.tables.replication,
                        &NoteSource::Peer(host),
                    );
                    return;
                };
                self.peers.push(PeerJob::FetchNotes {
                    address: row.peer_address,
                    host,
                    request,
                });
            }
            ReplicationCommand::PublishConfig { .. } => self.publish_routing(),
            ReplicationCommand::WriteBack(write_back) => {
                self.push_platform_job(PlatformJob::WriteBack(write_back));
            }
        }
    }

    fn push_head_job(&mut self, job: PlatformJob) {
        if !self.platform.push(job) {
            replication::platform_failed(&mut self.tables.replication);
        }
    }

    /// Queues a platform job. If the queue is full, the job is dropped and
    /// counted; it becomes due again after its period.
    fn push_platform_job(&self, job: PlatformJob) {
        if !self.platform.push(job) {
            metrics::counter!("agatehold_platform_jobs_dropped_total").increment(1);
        }
    }

    fn publish_phase(&mut self, phase: HostPhase) {
        self.shared.set_phase(match phase {
            HostPhase::Starting => Phase::Starting,
            HostPhase::Serving => Phase::Serving,
            HostPhase::Isolated => Phase::Isolated,
            HostPhase::Leaving => Phase::Leaving,
        });
    }
}
