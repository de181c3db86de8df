//! Addresses and files of a fleet.

use std::io;
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
/// The ports are bound together, so that all of them differ, and released
/// before the daemons bind them.
pub(super) fn reserve(daemons: usize) -> io::Result<Vec<DaemonAddresses>> {
    let mut held = Vec::new();
    let mut bind = || {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        held.push(listener);
        io::Result::Ok(address)
    };
    let mut rows = Vec::new();
    for number in 0..daemons {
        rows.push(DaemonAddresses {
            number,
            callers: bind()?,
            peers: bind()?,
            admin: bind()?,
        });
    }
    Ok(rows)
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
