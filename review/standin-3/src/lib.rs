//! Stand-ins of the users' platform, for the cases of the third review: the store, upstreams
//! and clients as `PROTOCOL.md` describes them, and daemons with the command of the deploy
//! file. Everything listens on loopback addresses.

pub mod base64;
pub mod client;
pub mod daemon;
pub mod http;
pub mod record;
pub mod store;
pub mod upstream;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns a number that differs between calls and between processes.
pub fn next_random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    if STATE.load(Ordering::Relaxed) == 0 {
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 32) | 1;
        STATE.store(seed, Ordering::Relaxed);
    }
    let mut value = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns a loopback host that is likely unused.
pub fn random_host() -> Ipv4Addr {
    let random = next_random();
    let octet = |shift: u32| (1 + (random >> shift) % 250) as u8;
    Ipv4Addr::new(127, octet(0), octet(16), octet(32))
}

/// Listens on a free port of a loopback host.
pub fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Sleeps until a time; returns at once if it has passed.
pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Returns a duration of milliseconds.
pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
