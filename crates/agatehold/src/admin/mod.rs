//! The HTTP server of the admin address.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use metrics_exporter_prometheus::PrometheusHandle;
use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use oxhttp::model::header;
use serde::Serialize;
use subtle::ConstantTimeEq;

use agatehold_core::replication::NotesAnswer as PushedNotes;
use agatehold_wire::admin::NoteVerdict;
use agatehold_wire::admin::NotesAnswer;
use agatehold_wire::admin::decode_notes;

use crate::control::AdminRequest;
use crate::control::Input;
use crate::shared::Shared;

/// How long the control thread may take to accept a request, and then to answer
/// it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for a client to send its request or read the response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of open connections.
const MAX_CONNECTIONS: usize = 32;

/// The maximum size of a request body. Only pushed notes have a body.
const MAX_BODY_BYTES: u64 = 4 << 20;

/// The state shared by the request handlers.
struct AdminState {
    shared: Arc<Shared>,
    inputs: Sender<Input>,
    metrics: PrometheusHandle,
}

/// Starts the admin server.
///
/// The HTTP library can't stop a server, so its threads run until the process
/// exits.
pub(crate) fn start(
    shared: &Arc<Shared>,
    inputs: Sender<Input>,
    metrics: PrometheusHandle,
) -> std::io::Result<()> {
    let address = shared.settings.listen.admin;
    let state = AdminState {
        shared: Arc::clone(shared),
        inputs,
        metrics,
    };
    Server::new(move |request| handle_request(&state, request))
        .with_global_timeout(CLIENT_TIMEOUT)
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .bind(address)
        .spawn()?;
    Ok(())
}

fn handle_request(state: &AdminState, request: &mut Request<Body>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, "/metrics") => response_with_body(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            state.metrics.render(),
        ),
        (Method::GET, "/v1/status") => query_control(state, AdminRequest::Status),
        (Method::GET, "/v1/hosts") => query_control(state, AdminRequest::Hosts),
        (Method::GET, "/v1/targets") => query_control(state, AdminRequest::Targets),
        (Method::GET, "/v1/ejections") => query_control(state, AdminRequest::Ejections),
        (Method::POST, "/v1/drain" | "/v1/notes") if !is_authorized(state, request) => {
            error_response(StatusCode::UNAUTHORIZED, "the token is missing or wrong")
        }
        (Method::POST, "/v1/drain") => query_control(state, AdminRequest::Drain),
        (Method::POST, "/v1/notes") => merge_pushed_notes(state, request),
        (_, "/metrics" | "/v1/status" | "/v1/hosts" | "/v1/targets" | "/v1/ejections")
        | (_, "/v1/drain" | "/v1/notes") => {
            error_response(StatusCode::METHOD_NOT_ALLOWED, "the method is not allowed")
        }
        _ => error_response(StatusCode::NOT_FOUND, "there is no such resource"),
    }
}

fn is_authorized(state: &AdminState, request: &Request<Body>) -> bool {
    let Some(given) = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
    else {
        return false;
    };
    let token = state.shared.settings.admin.token.expose();
    bool::from(given.as_bytes().ct_eq(token.as_bytes()))
}

/// Sends a request to the control thread and returns its answer as JSON.
fn query_control<T: Serialize>(
    state: &AdminState,
    to_control_request: impl FnOnce(Sender<T>) -> AdminRequest,
) -> Response<Body> {
    let (reply, reply_receiver) = bounded(1);
    let input = Input::Admin(to_control_request(reply));
    if state.inputs.send_timeout(input, ANSWER_TIMEOUT).is_err() {
        return control_timeout();
    }
    match reply_receiver.recv_timeout(ANSWER_TIMEOUT) {
        Ok(answer) => json_response(&answer),
        Err(_) => control_timeout(),
    }
}

fn merge_pushed_notes(state: &AdminState, request: &mut Request<Body>) -> Response<Body> {
    let mut body = Vec::new();
    let reader = std::io::Read::take(request.body_mut(), MAX_BODY_BYTES);
    if std::io::Read::read_to_end(&mut { reader }, &mut body).is_err() {
        return error_response(StatusCode::BAD_REQUEST, "the body can't be read");
    }
    let notes = match decode_notes(&body) {
        Ok(notes) => notes,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let pushed = PushedNotes {
        records: notes,
        ..PushedNotes::default()
    };
    let (reply, reply_receiver) = bounded(1);
    let input = Input::Admin(AdminRequest::Notes(Box::new(pushed), reply));
    if state.inputs.send_timeout(input, ANSWER_TIMEOUT).is_err() {
        return control_timeout();
    }
    let Ok((acceptance, is_held, head)) = reply_receiver.recv_timeout(ANSWER_TIMEOUT) else {
        return control_timeout();
    };
    let verdict = if is_held && acceptance.accepted > 0 {
        NoteVerdict::Taken
    } else if is_held {
        NoteVerdict::Held
    } else {
        NoteVerdict::Refused
    };
    json_response(&NotesAnswer {
        verdict,
        reason: acceptance.fault.map(|fault| fault.to_string().into()),
        head,
    })
}

fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_string(value) {
        Ok(body) => response_with_body(StatusCode::OK, "application/json", body),
        Err(_) => error_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the answer can't be encoded",
        ),
    }
}

fn control_timeout() -> Response<Body> {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "the control thread did not answer in time",
    )
}

fn error_response(status: StatusCode, reason: &str) -> Response<Body> {
    let body = serde_json::json!({ "error": reason }).to_string();
    response_with_body(status, "application/json", body)
}

fn response_with_body(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
