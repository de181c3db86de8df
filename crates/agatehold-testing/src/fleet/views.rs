//! What operators and callers of a fleet see, and how tests ask for it.

use std::io;

use serde_json::Value;
use serde_json::json;

use agatehold_wire::admin::EjectionsAnswer;
use agatehold_wire::admin::TargetEntry;
use agatehold_wire::admin::TargetsAnswer;

use crate::caller::CallerOptions;
use crate::caller::KeyMode;

use super::Fleet;

impl Fleet {
    /// Returns the options of a caller that sends lookups once each.
    pub fn lookups(&self, name: &str) -> io::Result<CallerOptions> {
        let mut options = self.caller(name)?;
        options.attempts = 1;
        options.shape.method = http::Method::GET;
        options.shape.keys = KeyMode::None;
        options.shape.is_non_idempotent = false;
        Ok(options)
    }

    /// Makes all targets answer within 15 to 25 ms and lists them as live, since
    /// only targets that the host list shows as live may be ejected.
    pub fn prepare_for_ejection(&self) -> io::Result<()> {
        self.switch_targets(&json!({"set": {"delay": {"uniform_ms": [15, 25]}}}))?;
        self.list_targets()
    }

    /// Puts every target into the platform's host list as live.
    fn list_targets(&self) -> io::Result<()> {
        self.switch_platform(&json!({ "hosts": self.host_list(|_| "live") }))
    }

    /// Returns the platform's host list of all targets, each in the state that
    /// `state_of` gives its number.
    pub fn host_list(&self, state_of: impl Fn(usize) -> &'static str) -> Value {
        let rows = self.targets.targets.iter().enumerate();
        let rows = rows.map(|(number, address)| {
            json!({
                "name": format!("certificates-{number}"),
                "kind": "target",
                "address": address,
                "failure_domain": format!("domain-{}", number % 3),
                "state": state_of(number),
            })
        });
        rows.collect()
    }

    /// Returns the most ejections that any daemon knows of.
    pub fn ejected_count(&self) -> io::Result<usize> {
        let mut most = 0;
        for daemon in &self.daemons {
            let bytes = daemon.read_admin("/v1/ejections").unwrap_or_default();
            let answer: EjectionsAnswer = serde_json::from_slice(&bytes)?;
            most = most.max(answer.ejections.len());
        }
        Ok(most)
    }

    /// Returns the targets as all daemons see them.
    pub fn target_rows(&self) -> io::Result<Vec<TargetEntry>> {
        let mut rows = Vec::new();
        for daemon in &self.daemons {
            let bytes = daemon.read_admin("/v1/targets").unwrap_or_default();
            let answer: TargetsAnswer = serde_json::from_slice(&bytes)?;
            rows.extend(answer.targets);
        }
        Ok(rows)
    }
}
