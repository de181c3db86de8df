//! Decoding of the platform's responses.

use http::HeaderMap;
use http::StatusCode;
use http::header::ETAG;
use serde::Deserialize;

use crate::json::text;

use super::HostListRow;
use super::LeaseId;
use super::PlatformCodecError;
use super::PlatformKey;
use super::PlatformRequest;
use super::ValueVersion;
use super::decode_hosts;

/// A decoded response of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// The key has this value.
    Value {
        /// The version of the value.
        version: ValueVersion,
        /// The value.
        value: Vec<u8>,
    },
    /// The key has no value.
    Missing,
    /// The watched value did not change within the `wait_ms` of the request.
    Unchanged,
    /// The value was written.
    Stored {
        /// The version of the new value.
        version: ValueVersion,
    },
    /// The condition of the write failed; nothing was written.
    Conflict {
        /// The current version, `None` if the key has no value.
        current: Option<ValueVersion>,
    },
    /// The value was removed.
    Deleted,
    /// The keys with their versions.
    Keys(Vec<(PlatformKey, ValueVersion)>),
    /// The lease was created.
    LeaseCreated(LeaseId),
    /// The lease was renewed.
    LeaseRenewed,
    /// The lease that the request names has expired; nothing was written.
    LeaseGone,
    /// The host list.
    Hosts(Vec<HostListRow>),
}

#[derive(Deserialize)]
struct KeyJson {
    #[serde(with = "text")]
    key: PlatformKey,
    version: u64,
}

#[derive(Deserialize)]
struct LeaseJson {
    #[serde(with = "text")]
    lease: LeaseId,
}

/// Decodes the response to `request`.
pub fn decode_response(
    request: &PlatformRequest,
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<PlatformAnswer, PlatformCodecError> {
    let unexpected = PlatformCodecError::Status(status.as_u16());
    match request {
        PlatformRequest::Get { .. } => match status {
            StatusCode::OK => value_answer(headers, body),
            StatusCode::NOT_FOUND => Ok(PlatformAnswer::Missing),
            _ => Err(unexpected),
        },
        PlatformRequest::Watch { .. } => match status {
            StatusCode::OK => value_answer(headers, body),
            StatusCode::NOT_FOUND => Ok(PlatformAnswer::Missing),
            StatusCode::NOT_MODIFIED => Ok(PlatformAnswer::Unchanged),
            _ => Err(unexpected),
        },
        PlatformRequest::Create { lease, .. } | PlatformRequest::CompareAndSwap { lease, .. } => {
            match status {
                StatusCode::OK | StatusCode::CREATED => Ok(PlatformAnswer::Stored {
                    version: header_version(headers)?,
                }),
                StatusCode::PRECONDITION_FAILED => conflict_answer(headers),
                StatusCode::NOT_FOUND if lease.is_some() => Ok(PlatformAnswer::LeaseGone),
                _ => Err(unexpected),
            }
        }
        PlatformRequest::Delete { .. } => match status {
            StatusCode::NO_CONTENT => Ok(PlatformAnswer::Deleted),
            StatusCode::PRECONDITION_FAILED => conflict_answer(headers),
            _ => Err(unexpected),
        },
        PlatformRequest::ListKeys { .. } => {
            if status != StatusCode::OK {
                return Err(unexpected);
            }
            let listed: Vec<KeyJson> = serde_json::from_slice(body).map_err(invalid_keys)?;
            let rows = listed
                .into_iter()
                .map(|row| (row.key, ValueVersion(row.version)));
            Ok(PlatformAnswer::Keys(rows.collect()))
        }
        PlatformRequest::CreateLease { .. } => {
            if status != StatusCode::OK && status != StatusCode::CREATED {
                return Err(unexpected);
            }
            let created: LeaseJson = serde_json::from_slice(body).map_err(invalid_lease)?;
            Ok(PlatformAnswer::LeaseCreated(created.lease))
        }
        PlatformRequest::RenewLease { .. } => match status {
            StatusCode::NO_CONTENT => Ok(PlatformAnswer::LeaseRenewed),
            StatusCode::NOT_FOUND => Ok(PlatformAnswer::LeaseGone),
            _ => Err(unexpected),
        },
        PlatformRequest::ListHosts => {
            if status != StatusCode::OK {
                return Err(unexpected);
            }
            decode_hosts(body).map(PlatformAnswer::Hosts)
        }
    }
}

fn value_answer(headers: &HeaderMap, body: &[u8]) -> Result<PlatformAnswer, PlatformCodecError> {
    Ok(PlatformAnswer::Value {
        version: header_version(headers)?,
        value: body.to_vec(),
    })
}

fn conflict_answer(headers: &HeaderMap) -> Result<PlatformAnswer, PlatformCodecError> {
    if !headers.contains_key(ETAG) {
        return Ok(PlatformAnswer::Conflict { current: None });
    }
    let current = Some(header_version(headers)?);
    Ok(PlatformAnswer::Conflict { current })
}

fn header_version(headers: &HeaderMap) -> Result<ValueVersion, PlatformCodecError> {
    let header = headers
        .get(ETAG)
        .ok_or(PlatformCodecError::Header("etag"))?;
    let text = header
        .to_str()
        .map_err(|_| PlatformCodecError::Header("etag"))?;
    ValueVersion::from_entity_tag(text).map_err(|_| PlatformCodecError::Header("etag"))
}

fn invalid_keys(error: serde_json::Error) -> PlatformCodecError {
    PlatformCodecError::Body("a list of keys", error.to_string().into())
}

fn invalid_lease(error: serde_json::Error) -> PlatformCodecError {
    PlatformCodecError::Body("a lease", error.to_string().into())
}
