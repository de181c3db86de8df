//! The admin address.

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

use agatehold_core::replication::NotesAnswer as NoteOffer;
use agatehold_wire::admin::NoteVerdict;
use agatehold_wire::admin::NotesAnswer;
use agatehold_wire::admin::decode_notes;

use crate::control::AdminQuestion;
use crate::control::Input;
use crate::shared::Shared;

/// How long the control thread may take for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a client may take to send or read.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// The connections at one time.
const CONNECTIONS_MAX: usize = 32;

/// The largest body of a request: pushed notes.
const BODY_MAX_BYTES: u64 = 4 << 20;

/// What the handlers work with.
struct AdminState {
    shared: Arc<Shared>,
    inputs: Sender<Input>,
    metrics: PrometheusHandle,
}

/// Starts the admin server.
///
/// The library can't stop a server; its threads end with the process.
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
    Server::new(move |request| answer(&state, request))
        .with_global_timeout(CLIENT_TIMEOUT)
        .with_max_concurrent_connections(CONNECTIONS_MAX)
        .bind(address)
        .spawn()?;
    Ok(())
}

fn answer(state: &AdminState, request: &mut Request<Body>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, "/metrics") => text(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            state.metrics.render(),
        ),
        (Method::GET, "/v1/status") => ask(state, AdminQuestion::Status),
        (Method::GET, "/v1/hosts") => ask(state, AdminQuestion::Hosts),
        (Method::GET, "/v1/targets") => ask(state, AdminQuestion::Targets),
        (Method::GET, "/v1/ejections") => ask(state, AdminQuestion::Ejections),
        (Method::POST, "/v1/drain" | "/v1/notes") if !is_authorized(state, request) => {
            refusal(StatusCode::UNAUTHORIZED, "the token is missing or wrong")
        }
        (Method::POST, "/v1/drain") => ask(state, AdminQuestion::Drain),
        (Method::POST, "/v1/notes") => offer_notes(state, request),
        (_, "/metrics" | "/v1/status" | "/v1/hosts" | "/v1/targets" | "/v1/ejections")
        | (_, "/v1/drain" | "/v1/notes") => {
            refusal(StatusCode::METHOD_NOT_ALLOWED, "the method is not allowed")
        }
        _ => refusal(StatusCode::NOT_FOUND, "there is no such resource"),
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

/// Asks the control thread and answers with its answer as JSON.
fn ask<T: Serialize>(
    state: &AdminState,
    question: impl FnOnce(Sender<T>) -> AdminQuestion,
) -> Response<Body> {
    let (reply, reply_seen) = bounded(1);
    let input = Input::Admin(question(reply));
    if state.inputs.send_timeout(input, ANSWER_TIMEOUT).is_err() {
        return busy();
    }
    match reply_seen.recv_timeout(ANSWER_TIMEOUT) {
        Ok(answer) => json(&answer),
        Err(_) => busy(),
    }
}

fn offer_notes(state: &AdminState, request: &mut Request<Body>) -> Response<Body> {
    let mut body = Vec::new();
    let reader = std::io::Read::take(request.body_mut(), BODY_MAX_BYTES);
    if std::io::Read::read_to_end(&mut { reader }, &mut body).is_err() {
        return refusal(StatusCode::BAD_REQUEST, "the body can't be read");
    }
    let notes = match decode_notes(&body) {
        Ok(notes) => notes,
        Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let offer = NoteOffer {
        records: notes,
        ..NoteOffer::default()
    };
    let (reply, reply_seen) = bounded(1);
    let input = Input::Admin(AdminQuestion::Notes(Box::new(offer), reply));
    if state.inputs.send_timeout(input, ANSWER_TIMEOUT).is_err() {
        return busy();
    }
    let Ok((acceptance, is_held, head)) = reply_seen.recv_timeout(ANSWER_TIMEOUT) else {
        return busy();
    };
    let verdict = if is_held && acceptance.accepted > 0 {
        NoteVerdict::Taken
    } else if is_held {
        NoteVerdict::Held
    } else {
        NoteVerdict::Refused
    };
    json(&NotesAnswer {
        verdict,
        reason: acceptance.fault.map(|fault| fault.to_string().into()),
        head,
    })
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_string(value) {
        Ok(body) => text(StatusCode::OK, "application/json", body),
        Err(_) => refusal(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the answer can't be encoded",
        ),
    }
}

fn busy() -> Response<Body> {
    refusal(
        StatusCode::SERVICE_UNAVAILABLE,
        "the control thread is busy",
    )
}

fn refusal(status: StatusCode, reason: &str) -> Response<Body> {
    let body = serde_json::json!({ "error": reason }).to_string();
    text(status, "application/json", body)
}

fn text(status: StatusCode, content_type: &'static str, body: String) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
