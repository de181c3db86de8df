//! Tells callers which daemons' addresses to use for a service.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use rand::RngExt;

use agatehold_core::ids::ServiceName;
use agatehold_core::refusal::RefusalKind;
use agatehold_wire::addresses::AddressAnswer;
use agatehold_wire::addresses::encode;

use crate::shared::Phase;

use super::ThreadState;
use super::answer::AnswerBody;
use super::answer::whole_response;
use super::refusal::Refusal;
use super::request_reader::Arrival;

/// Returns addresses of daemons for a service, in different failure domains.
pub(crate) fn choose_addresses(state: &ThreadState, service: &ServiceName) -> Vec<SocketAddr> {
    let entries = state.shared.fleet_addresses.load();
    let rotation = state.rng.borrow_mut().random();
    entries.choose(service, rotation)
}

/// Answers a query for the addresses to use for a service.
pub(crate) fn answer(
    state: &Rc<ThreadState>,
    arrival: &Arrival,
) -> Result<Response<AnswerBody>, Refusal> {
    if state.shared.phase() == Phase::Starting {
        return Err(Refusal::new(RefusalKind::Starting));
    }
    let service = parse_queried_service(&arrival.path_and_query)
        .ok_or_else(|| Refusal::new(RefusalKind::BadRequest))?;
    let published = state.shared.published.load();
    if !published
        .table
        .services
        .iter()
        .any(|row| row.name == service)
    {
        return Err(Refusal::new(RefusalKind::UnknownRoute));
    }
    let addresses = choose_addresses(state, &service);
    if addresses.is_empty() {
        let mut refusal = Refusal::new(RefusalKind::Isolated);
        refusal.service = Some(service);
        return Err(refusal);
    }
    let now = state.shared.clock.now();
    // A daemon that is leaving issues no key prefix, since callers would send
    // it requests with new keys.
    let key_prefix = match state.shared.phase() {
        Phase::Serving => Some(state.shared.keys().issue_prefix(now).to_string().into()),
        Phase::Starting | Phase::Isolated | Phase::Leaving => None,
    };
    let body = encode(&AddressAnswer {
        service: service.to_string().into(),
        addresses,
        ttl_ms: state.shared.settings.limits.address_ttl_ms.0,
        key_prefix,
    });
    let mut fields = HeaderMap::new();
    let json = HeaderValue::from_static("application/json");
    fields.insert(header::CONTENT_TYPE, json);
    Ok(whole_response(StatusCode::OK, fields, Bytes::from(body)))
}

fn parse_queried_service(path_and_query: &str) -> Option<ServiceName> {
    let (_, query) = path_and_query.split_once('?')?;
    for pair in query.split('&') {
        let Some(value) = pair.strip_prefix("service=") else {
            continue;
        };
        return value.parse().ok();
    }
    None
}
