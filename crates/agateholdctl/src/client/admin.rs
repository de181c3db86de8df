//! The client of the daemons' admin addresses.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::header::AUTHORIZATION;
use oxhttp::model::header::CONTENT_TYPE;
use serde::de::DeserializeOwned;

use agatehold_core::ids::NoteNumber;
use agatehold_core::note::HeadRecord;
use agatehold_core::note::StoredNote;
use agatehold_core::note::rollout::DaemonReport;
use agatehold_core::note::rollout::DaemonReports;
use agatehold_core::note::rollout::GossipedNote;
use agatehold_settings::secret::Secret;
use agatehold_wire::admin::DrainAnswer;
use agatehold_wire::admin::HostState;
use agatehold_wire::admin::HostsAnswer;
use agatehold_wire::admin::NotesAnswer;
use agatehold_wire::admin::PlatformState;
use agatehold_wire::admin::StatusAnswer;
use agatehold_wire::admin::encode_notes;

/// The timeout of a call to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The maximum age of the last confirmation at which a head counts as confirmed.
/// It equals the time after which a daemon without contact becomes isolated
/// (docs/design.md, section 4).
const CONFIRMED_MAX_AGE_MS: u64 = 9_000;

/// The number of daemons queried in parallel, so that a few unresponsive ones
/// don't delay the query of a large fleet.
const MAX_PARALLEL_CALLS: usize = 16;

/// The client of the daemons' admin addresses.
pub(crate) struct AdminClient {
    client: Client,
    token: Secret,
}

impl AdminClient {
    /// Creates a client that authenticates its changes with `token`.
    pub(crate) fn new(token: Secret) -> Self {
        Self {
            client: Client::new().with_global_timeout(CALL_TIMEOUT),
            token,
        }
    }

    /// Reads the JSON resource `path` of the daemon at `address`.
    pub(crate) fn read<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
        self.call(Method::GET, address, path, Vec::new())
    }

    /// Pushes notes to the daemon at `address`.
    pub(crate) fn push(
        &self,
        address: SocketAddr,
        notes: &[StoredNote],
    ) -> Result<NotesAnswer, String> {
        let body = encode_notes(notes).map_err(|error| error.to_string())?;
        self.call(Method::POST, address, "/v1/notes", body)
    }

    /// Starts a planned stop of the daemon at `address`.
    pub(crate) fn drain(&self, address: SocketAddr) -> Result<DrainAnswer, String> {
        self.call(Method::POST, address, "/v1/drain", Vec::new())
    }

    /// Queries the status of all daemons; `None` for those that don't answer.
    pub(crate) fn reports(&self, addresses: &[SocketAddr]) -> DaemonReports {
        let mut reports = DaemonReports::new();
        for group in addresses.chunks(MAX_PARALLEL_CALLS) {
            let answers: Vec<Option<DaemonReport>> = thread::scope(|scope| {
                let mut calls = Vec::new();
                for address in group {
                    calls.push(scope.spawn(|| self.report(*address)));
                }
                let mut answers = Vec::new();
                for call in calls {
                    answers.push(call.join().ok().flatten());
                }
                answers
            });
            for (address, answer) in group.iter().zip(answers) {
                reports.insert(*address, answer);
            }
        }
        reports
    }

    /// Returns the note in force on each serving host, as known by the first
    /// daemon that returns its host list.
    pub(crate) fn gossiped_notes(&self, reports: &DaemonReports) -> Vec<GossipedNote> {
        for (address, report) in reports.rows() {
            if report.is_none() {
                continue;
            }
            let Ok(answer) = self.read::<HostsAnswer>(*address, "/v1/hosts") else {
                continue;
            };
            let serving = answer
                .hosts
                .into_iter()
                .filter(|host| host.state == HostState::Serving);
            return serving
                .map(|host| GossipedNote {
                    host: host.id,
                    note: NoteNumber(host.note),
                })
                .collect();
        }
        Vec::new()
    }

    fn report(&self, address: SocketAddr) -> Option<DaemonReport> {
        let status: StatusAnswer = self.read(address, "/v1/status").ok()?;
        let recent = status
            .head_confirmed_age_ms
            .is_some_and(|age_ms| age_ms <= CONFIRMED_MAX_AGE_MS);
        let reaches_platform = status.platform == PlatformState::Reachable;
        Some(DaemonReport {
            host: status.host,
            failure_domain: status.failure_domain,
            head: status.head.map(HeadRecord::from).unwrap_or_default().head,
            confirmed: !status.isolated && (recent || reaches_platform),
            leaving: status.state == HostState::Leaving,
        })
    }

    fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, String> {
        let with_address = |error: &dyn std::fmt::Display| format!("{address}: {error}");
        let mut request = Request::builder()
            .method(&method)
            .uri(format!("http://{address}{path}"));
        if method == Method::POST {
            let token = self.token.expose();
            request = request
                .header(AUTHORIZATION, format!("Bearer {token}"))
                .header(CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(body)
            .map_err(|_| with_address(&"the request can't be built; is the token plain ASCII?"))?;
        let response = self
            .client
            .request(request)
            .map_err(|error| with_address(&error))?;
        let status = response.status();
        let body = response
            .into_body()
            .to_vec()
            .map_err(|error| with_address(&error))?;
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body);
            return Err(with_address(&format!("{status} {}", text.trim())));
        }
        serde_json::from_slice(&body).map_err(|error| with_address(&error))
    }
}
