//! Addresses and files of a fleet.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// The addresses of one daemon.
#[derive(Clone, Copy, Debug)]
pub(super) struct DaemonAddresses {
    pub(super) number: usize,
    pub(super) callers: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) admin: SocketAddr,
}

/// Returns free addresses for `daemons` daemons.
///
/// Each daemon has a loopback address of its own, as each host has. The ports
/// are released before the daemons bind them; on 127.0.0.1 an outgoing
/// connection could take one in between.
pub(super) fn reserve(daemons: usize) -> io::Result<Vec<DaemonAddresses>> {
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

/// Returns free addresses of a host.
///
/// The ports are held until all are drawn, so that they differ, and released
/// before a daemon binds them.
pub fn free_addresses<const COUNT: usize>(host: Ipv4Addr) -> io::Result<[SocketAddr; COUNT]> {
    let mut held = Vec::with_capacity(COUNT);
    let mut addresses = [SocketAddr::from((host, 0)); COUNT];
    for address in &mut addresses {
        let listener = TcpListener::bind((host, 0))?;
        *address = listener.local_addr()?;
        held.push(listener);
    }
    Ok(addresses)
}

/// Returns a loopback address that no other fleet of this process uses, and
/// with high probability none of another process.
pub fn next_loopback() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % 250;
    let process = std::process::id();
    let octet = |value: u32| u8::try_from(value % 250 + 1).unwrap_or(1);
    Ipv4Addr::new(127, octet(process / 250), octet(process), octet(number))
}

/// Creates a directory of its own, named by what it is for.
pub fn scratch_dir(purpose: &str) -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("agatehold-{purpose}-{}-{number}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}
