//! Caller options, host lists and admin queries for tests with a fleet.

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
    /// Returns the options of a caller that sends idempotent GET requests with
    /// one attempt each.
    pub fn lookup_options(&self, name: &str) -> io::Result<CallerOptions> {
        let mut options = self.caller_options(name)?;
        options.attempts = 1;
        options.shape.method = http::Method::GET;
        options.shape.keys = KeyMode::None;
        options.shape.is_non_idempotent = false;
        Ok(options)
    }

    /// Sets the run time of requests at all targets to 15 to 25 ms and publishes
    /// a host list with all targets live, since only targets that the host list
    /// shows as live may be ejected.
    pub fn prepare_for_ejection(&self) -> io::Result<()> {
        self.control_targets(&json!({"set": {"delay": {"uniform_ms": [15, 25]}}}))?;
        self.publish_live_targets()
    }

    /// Publishes a host list in which all targets are live.
    fn publish_live_targets(&self) -> io::Result<()> {
        self.control_platform(&json!({ "hosts": self.host_list(|_| "live") }))
    }

    /// Returns a host list of all targets in the platform's format. `state_of`
    /// returns the state of the target with a given index.
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

    /// Returns the number of ejections at the daemon that lists the most.
    pub fn ejected_count(&self) -> io::Result<usize> {
        let mut most = 0;
        for daemon in &self.daemons {
            let bytes = daemon.read_admin("/v1/ejections").unwrap_or_default();
            let answer: EjectionsAnswer = serde_json::from_slice(&bytes)?;
            most = most.max(answer.ejections.len());
        }
        Ok(most)
    }

    /// Returns the target entries from the admin addresses of all daemons.
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
