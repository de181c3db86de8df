//! Records what a target says of itself in an answer.

use std::net::SocketAddr;

use agatehold_core::target_registry::TargetIdentity;

use crate::gateway::evidence;
use crate::gateway::target::AttemptEnd;

use super::Dispatch;

impl Dispatch<'_> {
    /// Records what the answer to an attempt says about the target.
    pub(super) fn record_statements(
        &self,
        identity: &TargetIdentity,
        address: SocketAddr,
        end: &AttemptEnd,
    ) {
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
