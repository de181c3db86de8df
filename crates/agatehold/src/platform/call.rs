//! Blocking HTTP calls to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::Client;

use agatehold_core::units::DurationMs;
use agatehold_settings::process::PlatformSettings;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::VALUE_MAX_BYTES;
use agatehold_wire::platform::decode_response;
use agatehold_wire::platform::encode_request;

use crate::clock::duration;

/// The maximum number of bytes that are read of an answer: several times the
/// largest value, so that lists fit too.
const ANSWER_MAX_BYTES: u64 = 4 * VALUE_MAX_BYTES as u64;

/// Makes calls to the platform, each on its own connection.
pub(super) struct PlatformClient {
    address: SocketAddr,
    timeout: Duration,
    client: Client,
}

impl PlatformClient {
    /// Creates a client without opening a connection.
    pub(super) fn new(settings: &PlatformSettings) -> Self {
        let timeout = duration(settings.timeout_ms);
        Self {
            address: settings.address,
            timeout,
            client: Client::new().with_global_timeout(timeout),
        }
    }

    /// Makes a call; `None` if it failed or its answer could not be decoded.
    pub(super) fn call(&self, request: &PlatformRequest) -> Option<PlatformAnswer> {
        self.call_with_client(&self.client, request)
    }

    /// Makes a call that the platform may answer only after `wait_ms` (long
    /// polling).
    pub(super) fn watch(
        &self,
        request: &PlatformRequest,
        wait_ms: DurationMs,
    ) -> Option<PlatformAnswer> {
        let client = Client::new().with_global_timeout(duration(wait_ms) + self.timeout);
        self.call_with_client(&client, request)
    }

    /// Makes a call with `client` and counts it, and its failure if it fails.
    fn call_with_client(
        &self,
        client: &Client,
        request: &PlatformRequest,
    ) -> Option<PlatformAnswer> {
        metrics::counter!("agatehold_platform_calls_total", "kind" => request.kind()).increment(1);
        let answer = self.send_request(client, request);
        if answer.is_none() {
            metrics::counter!("agatehold_platform_failures_total", "kind" => request.kind())
                .increment(1);
        }
        answer
    }

    fn send_request(&self, client: &Client, request: &PlatformRequest) -> Option<PlatformAnswer> {
        let encoded = encode_request(request, self.address).ok()?;
        let response = client.request(encoded).ok()?;
        let status = response.status();
        let headers = response.headers().clone();
        let mut body = Vec::new();
        let reader = response.into_body();
        std::io::Read::read_to_end(
            &mut std::io::Read::take(reader, ANSWER_MAX_BYTES),
            &mut body,
        )
        .ok()?;
        decode_response(request, status, &headers, &body).ok()
    }
}
