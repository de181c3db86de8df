//! The control port, an HTTP endpoint through which a test injects faults and
//! reads records.

use bytes::Bytes;
use crossbeam::channel::Sender;
use http::Method;
use http::Request;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::CloseReason;
use super::HandlerResult;
use super::json_response;
use super::serve;
use super::text_response;

/// A request to the control port, which the state thread handles.
#[derive(Debug)]
pub enum ControlEvent {
    /// `POST /control` with a JSON object, and the channel for the result.
    Update(Value, oneshot::Sender<Result<(), String>>),
    /// `GET /control/<what>?<query>`.
    Read {
        /// The last part of the path.
        what: Box<str>,
        /// The query string, empty if there is none.
        query: Box<str>,
        /// Receives the value, or `None` if nothing is served at this path.
        reply: oneshot::Sender<Option<Value>>,
    },
}

/// Serves the control port. `wrap` turns each request into an event for the
/// state thread.
pub async fn serve_control<E, W>(listener: TcpListener, events: Sender<E>, wrap: W)
where
    E: Send + 'static,
    W: Fn(ControlEvent) -> E + Clone + Send + Sync + 'static,
{
    serve(listener, move |request| {
        let events = events.clone();
        let wrap = wrap.clone();
        async move { handle_control_request(request, events, wrap).await }
    })
    .await;
}

async fn handle_control_request<E>(
    request: Request<Bytes>,
    events: Sender<E>,
    wrap: impl Fn(ControlEvent) -> E,
) -> HandlerResult {
    let path = request.uri().path();
    if request.method() == Method::POST && path == "/control" {
        let value = match serde_json::from_slice(request.body()) {
            Ok(value) => value,
            Err(error) => {
                let text = format!("{error}\n");
                return Ok(text_response(StatusCode::BAD_REQUEST, text));
            }
        };
        let (reply, answer) = oneshot::channel();
        let event = wrap(ControlEvent::Update(value, reply));
        events.send(event).map_err(|_| CloseReason::Stopped)?;
        return match answer.await.map_err(|_| CloseReason::Stopped)? {
            Ok(()) => Ok(text_response(StatusCode::NO_CONTENT, "")),
            Err(text) => Ok(text_response(StatusCode::BAD_REQUEST, text + "\n")),
        };
    }
    let Some(what) = path.strip_prefix("/control/") else {
        return Ok(text_response(StatusCode::NOT_FOUND, ""));
    };
    if request.method() != Method::GET {
        return Ok(text_response(StatusCode::METHOD_NOT_ALLOWED, ""));
    }
    let (reply, answer) = oneshot::channel();
    let event = wrap(ControlEvent::Read {
        what: what.into(),
        query: request.uri().query().unwrap_or_default().into(),
        reply,
    });
    events.send(event).map_err(|_| CloseReason::Stopped)?;
    match answer.await.map_err(|_| CloseReason::Stopped)? {
        Some(value) => Ok(json_response(&value)),
        None => Ok(text_response(StatusCode::NOT_FOUND, "")),
    }
}

/// Returns `current` with the fields replaced that are present in the JSON
/// object `patch`.
pub fn merge_patch<T: Serialize + DeserializeOwned>(
    current: &T,
    patch: &Value,
) -> Result<T, String> {
    let mut merged = serde_json::to_value(current).map_err(|error| error.to_string())?;
    let (Some(fields), Some(changes)) = (merged.as_object_mut(), patch.as_object()) else {
        return Err("the fields to set must be a JSON object".to_owned());
    };
    for (name, value) in changes {
        fields.insert(name.clone(), value.clone());
    }
    serde_json::from_value(merged).map_err(|error| error.to_string())
}
