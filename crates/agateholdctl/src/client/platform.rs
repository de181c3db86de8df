//! The platform's client.

use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::Client;

use agatehold_settings::process::PlatformSettings;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::decode_response;
use agatehold_wire::platform::encode_request;

use super::is_certainly_unsent;

/// What became of a call.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// The platform answered.
    Answered(PlatformAnswer),
    /// No usable answer arrived; a write may have taken effect.
    Lost(String),
    /// The call did not reach the platform.
    NotSent(String),
}

/// The platform's client; it sends each request once.
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
                return CallOutcome::NotSent(self.named(&error));
            }
            Err(error) => return CallOutcome::Lost(self.named(&error)),
        };
        let (head, body) = response.into_parts();
        let body = match body.to_vec() {
            Ok(body) => body,
            Err(error) => return CallOutcome::Lost(self.named(&error)),
        };
        match decode_response(request, head.status, &head.headers, &body) {
            Ok(answer) => CallOutcome::Answered(answer),
            Err(fault) => CallOutcome::Lost(self.named(&fault)),
        }
    }

    /// Makes one call that changes nothing.
    pub(crate) fn read(&self, request: &PlatformRequest) -> Result<PlatformAnswer, String> {
        match self.call(request) {
            CallOutcome::Answered(answer) => Ok(answer),
            CallOutcome::Lost(detail) | CallOutcome::NotSent(detail) => Err(detail),
        }
    }

    fn named(&self, error: &dyn std::fmt::Display) -> String {
        format!("{}: {error}", self.address)
    }
}
