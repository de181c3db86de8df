//! Forwards bytes between a socket and the HTTP server, and injects faults on
//! the byte level.
//!
//! The HTTP library is connected through an in-memory pipe, so that cuts,
//! silence and duplicated responses act on bytes instead of HTTP messages.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::DuplexStream;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::faults::ConnectionFaults;
use super::faults::CutDirection;
use super::faults::CutEnd;
use super::faults::Silence;
use super::faults::claim_cut;

/// The size of the pipe and of each read. A response up to this size is read
/// from the pipe at once, which duplicating it relies on.
pub(super) const PIPE_BYTES: usize = 64 << 10;

/// What to do with the connection after bytes were read.
enum RelayStep {
    /// Continue to forward bytes.
    Continue,
    /// Close the connection in this way.
    Close(CutEnd),
}

/// Forwards bytes until either side closes the connection or a fault does.
///
/// The HTTP handler sets `is_sent_twice` when the next response is sent twice.
pub(super) async fn relay(
    mut socket: TcpStream,
    mut service: DuplexStream,
    mut fault_updates: watch::Receiver<ConnectionFaults>,
    is_sent_twice: Arc<AtomicBool>,
) {
    let mut request_buffer = vec![0; PIPE_BYTES];
    let mut response_buffer = vec![0; PIPE_BYTES];
    let mut request_passed = 0;
    let mut response_passed = 0;
    let end = loop {
        let faults = fault_updates.borrow_and_update().clone();
        if faults.reset {
            break CutEnd::Reset;
        }
        let step = tokio::select! {
            // Branches are polled in order, so that a fault that was set before
            // bytes are read applies to them.
            biased;
            changed = fault_updates.changed() => match changed {
                Ok(()) => RelayStep::Continue,
                Err(_) => RelayStep::Close(CutEnd::Reset),
            },
            read = socket.read(&mut request_buffer) => match read {
                Ok(0) | Err(_) => RelayStep::Close(CutEnd::Close),
                Ok(length) => {
                    // The first bytes after a response begin the next request.
                    if response_passed > 0 {
                        request_passed = 0;
                        response_passed = 0;
                    }
                    forward_request_bytes(
                        &faults,
                        &mut service,
                        &request_buffer[..length],
                        &mut request_passed,
                    )
                    .await
                }
            },
            read = service.read(&mut response_buffer) => match read {
                Ok(0) | Err(_) => RelayStep::Close(CutEnd::Close),
                Ok(length) => {
                    let times = if is_sent_twice.swap(false, Ordering::Relaxed) { 2 } else { 1 };
                    let bytes = response_buffer[..length].repeat(times);
                    forward_response_bytes(&faults, &mut socket, &bytes, &mut response_passed).await
                }
            },
        };
        if let RelayStep::Close(end) = step {
            break end;
        }
    };
    match end {
        CutEnd::Reset => {
            // With a linger time of zero, closing the socket sends a TCP reset.
            let _ = socket.set_zero_linger();
        }
        CutEnd::Close => {
            let _ = tokio::time::timeout(Duration::from_secs(1), socket.shutdown()).await;
        }
    }
}

/// Returns how many of the next `length` bytes pass before the cut, if the cut
/// is in direction `part` and falls within these bytes. `passed` bytes have
/// passed before.
fn bytes_before_cut(
    faults: &ConnectionFaults,
    part: CutDirection,
    passed: u64,
    length: usize,
) -> Option<usize> {
    let cut = faults.cut.filter(|cut| cut.part == part)?;
    let remaining = usize::try_from(cut.byte.checked_sub(passed)?).ok()?;
    if remaining > length || !claim_cut(faults) {
        return None;
    }
    Some(remaining)
}

async fn forward_request_bytes(
    faults: &ConnectionFaults,
    service: &mut DuplexStream,
    bytes: &[u8],
    passed: &mut u64,
) -> RelayStep {
    if faults.silence == Silence::Both {
        return RelayStep::Continue;
    }
    let cut = bytes_before_cut(faults, CutDirection::Request, *passed, bytes.len());
    let bytes = &bytes[..cut.unwrap_or(bytes.len())];
    *passed += u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    if service.write_all(bytes).await.is_err() {
        return RelayStep::Close(CutEnd::Close);
    }
    match (cut, faults.cut) {
        (Some(_), Some(plan)) => RelayStep::Close(plan.end),
        _ => RelayStep::Continue,
    }
}

async fn forward_response_bytes(
    faults: &ConnectionFaults,
    socket: &mut TcpStream,
    bytes: &[u8],
    passed: &mut u64,
) -> RelayStep {
    let cut = bytes_before_cut(faults, CutDirection::Answer, *passed, bytes.len());
    let bytes = &bytes[..cut.unwrap_or(bytes.len())];
    *passed += u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    if faults.silence == Silence::None && socket.write_all(bytes).await.is_err() {
        return RelayStep::Close(CutEnd::Close);
    }
    match (cut, faults.cut) {
        (Some(_), Some(plan)) => RelayStep::Close(plan.end),
        _ => RelayStep::Continue,
    }
}
