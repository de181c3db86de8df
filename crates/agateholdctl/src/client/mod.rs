//! HTTP calls to the platform and to daemons.

mod admin;
mod platform;

pub(crate) use admin::AdminClient;
pub(crate) use platform::CallOutcome;
pub(crate) use platform::PlatformClient;

use std::io;

/// Returns whether a failed call certainly did not reach the server.
///
/// Only a refused connection is certain; any other failure may have happened after
/// the server read the request.
fn is_certainly_unsent(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}
