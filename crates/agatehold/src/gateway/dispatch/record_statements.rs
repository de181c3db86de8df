//! Records what a target says of itself in an answer.

use std::net::SocketAddr;

use agatehold_core::target_registry::TargetIdentity;

use crate::gateway::evidence;
use crate::gateway::target::AttemptEnd;
use crate::telemetry::FieldText;

use super::Dispatch;

impl Dispatch<'_> {
    /// Records what the answer to an attempt says about the target.
    pub(super) fn record_statements(
        &self,
        identity: &TargetIdentity,
        address: SocketAddr,
        end: &AttemptEnd,
    ) {
        self.record_pause(identity, end);
        if !end.says_leaving {
            return;
        }
        if !end.is_wrong_target {
            self.record_leaving(identity);
            return;
        }
        // The answer is that of whoever has the address now.
        let mut at_address = Vec::new();
        for row in self.state.targets.borrow().rows.rows().map(|(_, row)| row) {
            if row.record.address == address && row.record.identity != *identity {
                at_address.push(row.record.identity.clone());
            }
        }
        for other in at_address {
            self.record_leaving(&other);
        }
    }

    /// Starts the pause that a target asks for.
    fn record_pause(&self, identity: &TargetIdentity, end: &AttemptEnd) {
        let now = self.now();
        let pause_ms = match &end.pause {
            None => return,
            Some(Ok(pause_ms)) => *pause_ms,
            Some(Err(error)) => {
                log::warn!(
                    "event=pause_ignored target={} service={} error={}",
                    identity.name,
                    self.service,
                    FieldText(&error.to_string())
                );
                return;
            }
        };
        let mut targets = self.state.targets.borrow_mut();
        let until = targets.record_pause(identity, pause_ms, now);
        log::info!(
            "event=target_paused target={} service={} asked={pause_ms} left={}",
            identity.name,
            self.service,
            until.since(now)
        );
        metrics::counter!("agatehold_pauses_total", "service" => self.service.to_string())
            .increment(1);
    }

    fn record_leaving(&self, identity: &TargetIdentity) {
        let now = self.now();
        if !self
            .state
            .targets
            .borrow_mut()
            .record_leaving(identity, now)
        {
            return;
        }
        log::info!(
            "event=target_leaving target={} service={} told_by=target",
            identity.name,
            self.service
        );
        metrics::counter!("agatehold_leaving_targets_total", "told_by" => "target").increment(1);
        evidence::send_leaving(self.state, &self.service, identity);
    }
}
