//! The client of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::Client;

use agatehold_settings::process::PlatformSettings;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::decode_response;
use agatehold_wire::platform::encode_request;

use super::is_certainly_unsent;

/// The outcome of a call.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// The platform answered.
    Answered(PlatformAnswer),
    /// No usable answer was received; a write may have taken effect.
    Lost(String),
    /// The call did not reach the platform.
    NotSent(String),
}

/// A client of the platform that never retries a request.
pub(crate) struct PlatformClient {
    address: SocketAddr,
    client: Client,
}

impl PlatformClient {
    /// Creates a client.
    pub(crate) fn new(settings: &PlatformSettings) -> Self {
        let timeout = Duration::from_millis(settings.timeout_ms.0);
        Self {
            address: settings.address,
            client: Client::new().with_global_timeout(timeout),
        }
    }

    /// Makes one call.
    pub(crate) fn call(&self, request: &PlatformRequest) -> CallOutcome {
        let encoded = match encode_request(request, self.address) {
            Ok(encoded) => encoded,
            Err(fault) => return CallOutcome::NotSent(fault.to_string()),
        };
        let response = match self.client.request(encoded) {
            Ok(response) => response,
            Err(error) if is_certainly_unsent(&error) => {
                return CallOutcome::NotSent(self.with_address(&error));
            }
            Err(error) => return CallOutcome::Lost(self.with_address(&error)),
        };
        let (head, body) = response.into_parts();
        let body = match body.to_vec() {
            Ok(body) => body,
            Err(error) => return CallOutcome::Lost(self.with_address(&error)),
        };
        match decode_response(request, head.status, &head.headers, &body) {
            Ok(answer) => CallOutcome::Answered(answer),
            Err(fault) => CallOutcome::Lost(self.with_address(&fault)),
        }
    }

    /// Makes one read-only call.
    pub(crate) fn read(&self, request: &PlatformRequest) -> Result<PlatformAnswer, String> {
        match self.call(request) {
            CallOutcome::Answered(answer) => Ok(answer),
            CallOutcome::Lost(detail) | CallOutcome::NotSent(detail) => Err(detail),
        }
    }

    fn with_address(&self, error: &dyn std::fmt::Display) -> String {
        format!("{}: {error}", self.address)
    }
}
