//! Reserves addresses and directories for fleets and tests.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::common::lock_spawning;

/// The listen addresses of a daemon.
#[derive(Clone, Copy, Debug)]
pub(super) struct DaemonAddresses {
    pub(super) number: usize,
    pub(super) callers: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) admin: SocketAddr,
}

/// Returns free listen addresses for `daemons` daemons.
///
/// Each daemon gets its own loopback IP address. The ports are released before
/// the daemons bind them. On the shared address 127.0.0.1, an outgoing
/// connection could use one of them as its local port in the meantime.
pub(super) fn reserve_addresses(daemons: usize) -> io::Result<Vec<DaemonAddresses>> {
    let mut rows = Vec::new();
    for number in 0..daemons {
        let [callers, peers, admin] = free_addresses(next_loopback())?;
        rows.push(DaemonAddresses {
            number,
            callers,
            peers,
            admin,
        });
    }
    Ok(rows)
}

/// Returns `COUNT` free addresses with the IP address `host`.
///
/// The ports stay bound until all are assigned, so that they differ, and are
/// released before this function returns.
pub fn free_addresses<const COUNT: usize>(host: Ipv4Addr) -> io::Result<[SocketAddr; COUNT]> {
    // A child that starts meanwhile would keep the ports bound for some time.
    let _spawning = lock_spawning();
    let mut held = Vec::with_capacity(COUNT);
    let mut addresses = [SocketAddr::from((host, 0)); COUNT];
    for address in &mut addresses {
        let listener = TcpListener::bind((host, 0))?;
        *address = listener.local_addr()?;
        held.push(listener);
    }
    Ok(addresses)
}

/// Returns a new loopback IP address. It repeats after 250 calls in a process,
/// and it is unlikely that another process uses the same one.
pub fn next_loopback() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % 250;
    let process = std::process::id();
    let octet = |value: u32| u8::try_from(value % 250 + 1).unwrap_or(1);
    Ipv4Addr::new(127, octet(process / 250), octet(process), octet(number))
}

/// Creates a unique temporary directory with `purpose` in its name.
pub fn scratch_dir(purpose: &str) -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("agatehold-{purpose}-{}-{number}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}
