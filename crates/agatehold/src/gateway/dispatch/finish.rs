//! Builds the response to the caller and logs how the request ended.

use http::HeaderName;
use http::header;

use agatehold_core::ids::TenantName;
use agatehold_core::refusal::RefusalKind;
use agatehold_core::refusal::RefusalOutcome;
use agatehold_core::units::DurationMs;
use agatehold_platform::target_headers;

use crate::telemetry::FieldText;
use crate::traffic::strip_hop_by_hop;

use crate::gateway::allotments;
use crate::gateway::endpoint::Response;
use crate::gateway::evidence;
use crate::gateway::responses;
use crate::gateway::serve::request_id_text;
use crate::gateway::target::TargetResponse;
use crate::gateway::tenant_metrics;

use super::Dispatch;
use super::DispatchEnd;

impl Dispatch<'_> {
    /// Returns whether no byte of the request can have reached a target. An attempt that
    /// ended with its caller may have been written.
    fn is_certainly_unsent(&self, dispatch_end: &DispatchEnd) -> bool {
        let is_certain = match dispatch_end {
            DispatchEnd::Answered(_) => false,
            DispatchEnd::CallerGone | DispatchEnd::Refused(RefusalKind::Internal) => {
                self.tried.is_empty()
            }
            DispatchEnd::Refused(_) => true,
        };
        is_certain && self.attempts.sent == 0
    }

    /// Returns the name of the request's tenant for the log; `-` if it has none.
    fn tenant_text(&self) -> &str {
        self.credentials.tenant().map_or("-", TenantName::as_str)
    }

    /// Builds the response, updates the metrics and writes the log line from which
    /// operators reconstruct the request; `None` if the caller has disconnected.
    pub(super) fn finish(&self, dispatch_end: DispatchEnd) -> Option<Response> {
        let id = request_id_text(self.request_id.as_ref());
        let target = self.target_text();
        let now = self.now();
        if let Some(token) = &self.token
            && self.is_certainly_unsent(&dispatch_end)
        {
            allotments::give_back(self.state, token);
        }
        match &dispatch_end {
            DispatchEnd::Answered(response) => {
                let is_served = !response.status.is_server_error();
                self.with_service_stats(|stats| stats.record_end(is_served, now));
            }
            DispatchEnd::Refused(_) => {
                self.with_service_stats(|stats| stats.record_end(false, now))
            }
            DispatchEnd::CallerGone => {}
        }
        evidence::send_pressure_report(self.state, &self.service);
        match dispatch_end {
            DispatchEnd::Answered(response) => {
                metrics::histogram!("agatehold_request_seconds",
                    "service" => self.service.to_string())
                .record(self.incoming.arrived_at.elapsed().as_secs_f64());
                log::info!(
                    "event=answered id={id} path={} route={} tenant={} service={} target={target} connection={} sent={} status={} over_budget={} ms={} config={}",
                    FieldText(&self.incoming.head.target),
                    FieldText(&self.route.name),
                    self.tenant_text(),
                    self.service,
                    self.connection_text(),
                    self.tried.len(),
                    response.status.as_u16(),
                    self.is_over_budget,
                    self.elapsed_ms(),
                    self.version
                );
                Some(relay(response))
            }
            DispatchEnd::CallerGone => {
                log::info!(
                    "event=caller_gone id={id} route={} service={} target={target} ms={}",
                    FieldText(&self.route.name),
                    self.service,
                    self.elapsed_ms()
                );
                None
            }
            DispatchEnd::Refused(kind) => {
                let outcome = if self.attempts.may_have_run > 0 {
                    RefusalOutcome::Unknown
                } else {
                    RefusalOutcome::NotRun
                };
                metrics::counter!("agatehold_refusals_total",
                    "kind" => kind.answer().name)
                .increment(1);
                tenant_metrics::count_refusal(&self.state.view(), self.credentials.tenant());
                log::warn!(
                    "event=refused id={id} path={} kind={kind} outcome={outcome} route={} tenant={} service={} target={target} connection={} sent={} over_budget={} detail=\"{}\" backlog={} ms={} config={}",
                    FieldText(&self.incoming.head.target),
                    FieldText(&self.route.name),
                    self.tenant_text(),
                    self.service,
                    self.connection_text(),
                    self.attempts.sent,
                    self.is_over_budget,
                    self.detail,
                    self.backlog_ms.unwrap_or(DurationMs(0)),
                    self.elapsed_ms(),
                    self.version
                );
                let id = self.request_id.as_ref();
                Some(match self.return_ms {
                    Some(delay_ms) => responses::refusal_with_delay(kind, outcome, delay_ms, id),
                    None => responses::refusal(self.state, kind, outcome, self.backlog_ms, id),
                })
            }
        }
    }
}

/// Converts a target's response to the one sent to the caller: without hop-by-hop
/// headers and the target's load report.
fn relay(response: TargetResponse) -> Response {
    let mut headers = response.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(HeaderName::from_static(target_headers::LOAD));
    Response {
        status: response.status.as_u16(),
        headers,
        body: response.body,
        is_head_response: false,
        in_flight: None,
        memory: None,
    }
}
