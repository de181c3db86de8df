//! Blocking HTTP calls to the control ports and the platform, for tests.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use http::Response;
use oxhttp::Client;
use oxhttp::model::Body;
use quick_error::quick_error;
use serde_json::Value;

use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformCodecError;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::decode_response;
use agatehold_wire::platform::encode_request;

/// Longer than any long poll, so that a lost response fails the test instead
/// of blocking it.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

quick_error! {
    /// A call that failed or was refused.
    #[derive(Debug)]
    pub enum CallError {
        /// The connection failed.
        Io(error: io::Error) {
            display("{}", error)
            from()
        }
        /// The request can't be encoded or the response can't be decoded.
        Fault(error: PlatformCodecError) {
            display("{}", error)
            from()
        }
        /// The control port refused the request.
        Refused(status: u16, text: String) {
            display("the control port refused the request with status {}: {}", status, text)
        }
    }
}

fn send(request: Request<Vec<u8>>) -> Result<Response<Vec<u8>>, CallError> {
    let client = Client::new().with_global_timeout(CALL_TIMEOUT);
    let (head, body) = client.request(request)?.into_parts();
    Ok(Response::from_parts(head, Body::to_vec(body)?))
}

/// Sends one request to the platform at `address` and returns its response.
pub fn call_platform(
    address: SocketAddr,
    request: &PlatformRequest,
) -> Result<PlatformAnswer, CallError> {
    let (head, body) = send(encode_request(request, address)?)?.into_parts();
    Ok(decode_response(request, head.status, &head.headers, &body)?)
}

/// Sends `value` to `POST /control` at the control port `control`.
pub fn post_control(control: SocketAddr, value: &Value) -> Result<(), CallError> {
    let request = Request::post(format!("http://{control}/control"));
    control_call(request, value.to_string().into_bytes()).map(|_| ())
}

/// Returns the JSON value of `GET /control/<what>` at the control port `control`.
pub fn get_control(control: SocketAddr, what: &str) -> Result<Value, CallError> {
    let request = Request::get(format!("http://{control}/control/{what}"));
    let body = control_call(request, Vec::new())?;
    let invalid = |error| CallError::Io(io::Error::new(io::ErrorKind::InvalidData, error));
    serde_json::from_slice(&body).map_err(invalid)
}

fn control_call(builder: http::request::Builder, body: Vec<u8>) -> Result<Vec<u8>, CallError> {
    let request = builder
        .body(body)
        .map_err(|error| PlatformCodecError::Encode(error.to_string().into()))?;
    let response = send(request)?;
    if !response.status().is_success() {
        let text = String::from_utf8_lossy(response.body()).into_owned();
        return Err(CallError::Refused(response.status().as_u16(), text));
    }
    Ok(response.into_body())
}
