//! Passes bytes between a socket and the HTTP service, with byte faults.
//!
//! The HTTP library sits behind an in-memory pipe, so that cuts, silence and
//! doubled answers act on the bytes of the wire and not on its messages.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::DuplexStream;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::faults::ConnectionOrder;
use super::faults::CutEnd;
use super::faults::CutPart;
use super::faults::Silence;
use super::faults::take_cut;

/// The size of the pipe and of each read; an answer up to this size leaves
/// the service in one piece and can be doubled.
pub(super) const PIPE_BYTES: usize = 64 << 10;

/// How the bytes of a connection ended.
enum Pass {
    /// The bytes went through.
    On,
    /// The connection ends so.
    End(CutEnd),
}

/// Passes bytes until either side closes or an order ends the connection.
///
/// `is_double` is set by the service for an answer that is sent twice.
pub(super) async fn relay(
    mut socket: TcpStream,
    mut service: DuplexStream,
    mut orders: watch::Receiver<ConnectionOrder>,
    is_double: Arc<AtomicBool>,
) {
    let mut up = vec![0; PIPE_BYTES];
    let mut down = vec![0; PIPE_BYTES];
    let mut up_passed = 0;
    let mut down_passed = 0;
    let end = loop {
        let order = orders.borrow_and_update().clone();
        if order.reset {
            break CutEnd::Reset;
        }
        let pass = tokio::select! {
            // An order that was given before the bytes came applies to them.
            biased;
            changed = orders.changed() => match changed {
                Ok(()) => Pass::On,
                Err(_) => Pass::End(CutEnd::Reset),
            },
            read = socket.read(&mut up) => match read {
                Ok(0) | Err(_) => Pass::End(CutEnd::Close),
                Ok(length) => {
                    // A request begins when bytes follow an answer.
                    if down_passed > 0 {
                        up_passed = 0;
                        down_passed = 0;
                    }
                    pass_up(&order, &mut service, &up[..length], &mut up_passed).await
                }
            },
            read = service.read(&mut down) => match read {
                Ok(0) | Err(_) => Pass::End(CutEnd::Close),
                Ok(length) => {
                    let times = if is_double.swap(false, Ordering::Relaxed) { 2 } else { 1 };
                    let bytes = down[..length].repeat(times);
                    pass_down(&order, &mut socket, &bytes, &mut down_passed).await
                }
            },
        };
        if let Pass::End(end) = pass {
            break end;
        }
    };
    match end {
        CutEnd::Reset => {
            // Without a linger time the close sends a reset.
            let _ = socket.set_zero_linger();
        }
        CutEnd::Close => {
            let _ = tokio::time::timeout(Duration::from_secs(1), socket.shutdown()).await;
        }
    }
}

/// Returns how many of `length` bytes pass before the cut in `part`, if the
/// cut lies among them.
fn cut_after(order: &ConnectionOrder, part: CutPart, passed: u64, length: usize) -> Option<usize> {
    let cut = order.cut.filter(|cut| cut.part == part)?;
    let room = usize::try_from(cut.byte.checked_sub(passed)?).ok()?;
    if room > length || !take_cut(order) {
        return None;
    }
    Some(room)
}

async fn pass_up(
    order: &ConnectionOrder,
    service: &mut DuplexStream,
    bytes: &[u8],
    passed: &mut u64,
) -> Pass {
    if order.silence == Silence::Both {
        return Pass::On;
    }
    let cut = cut_after(order, CutPart::Request, *passed, bytes.len());
    let bytes = &bytes[..cut.unwrap_or(bytes.len())];
    *passed += u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    if service.write_all(bytes).await.is_err() {
        return Pass::End(CutEnd::Close);
    }
    match (cut, order.cut) {
        (Some(_), Some(plan)) => Pass::End(plan.end),
        _ => Pass::On,
    }
}

async fn pass_down(
    order: &ConnectionOrder,
    socket: &mut TcpStream,
    bytes: &[u8],
    passed: &mut u64,
) -> Pass {
    let cut = cut_after(order, CutPart::Answer, *passed, bytes.len());
    let bytes = &bytes[..cut.unwrap_or(bytes.len())];
    *passed += u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    if order.silence == Silence::None && socket.write_all(bytes).await.is_err() {
        return Pass::End(CutEnd::Close);
    }
    match (cut, order.cut) {
        (Some(_), Some(plan)) => Pass::End(plan.end),
        _ => Pass::On,
    }
}
