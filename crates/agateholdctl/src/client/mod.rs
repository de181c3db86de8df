//! HTTP calls to the platform and to daemons.

mod admin;
mod platform;

pub(crate) use admin::AdminClient;
pub(crate) use platform::CallOutcome;
pub(crate) use platform::PlatformClient;

use std::io;

/// Returns whether a failed call certainly did not reach the other side.
///
/// Only a refused connection is certain; every other failure may have come
/// after the request was read.
fn is_certainly_unsent(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}
