//! The fingerprint by which a request is recognised when it comes again.

use std::net::IpAddr;

use crate::ids::Digest;

/// What makes two requests the same with regard to crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity<'a> {
    /// The address of the caller. Callers that read the same page are told apart, so
    /// that a page which many read is not taken for the cause of crashes elsewhere.
    pub caller: IpAddr,
    /// The value of the `Host` header; empty if there is none.
    pub host: &'a [u8],
    /// The method.
    pub method: &'a [u8],
    /// The path with its query.
    pub path: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

/// Returns the fingerprint of a request.
pub fn fingerprint(request: &RequestIdentity<'_>) -> Digest {
    Digest::of_parts(&[
        request.caller.to_string().as_bytes(),
        request.host,
        request.method,
        request.path,
        request.body,
    ])
}
