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
        let ip = next_loopback();
        let callers = TcpListener::bind((ip, 0))?;
        let peers = TcpListener::bind((ip, 0))?;
        let admin = TcpListener::bind((ip, 0))?;
        rows.push(DaemonAddresses {
            number,
            callers: callers.local_addr()?,
            peers: peers.local_addr()?,
            admin: admin.local_addr()?,
        });
    }
    Ok(rows)
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

/// Creates a directory of its own for one fleet.
pub(super) fn scratch_dir() -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("agatehold-fleet-{}-{number}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}
