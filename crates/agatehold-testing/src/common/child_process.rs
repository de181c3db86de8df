//! A child process that a test runs.

use std::io;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use agatehold_core::units::ByteCount;

/// Held while a process is started, and while sockets are open that a child must not
/// hold copies of.
static SPAWNING: Mutex<()> = Mutex::new(());

/// Waits until no process is being started, and keeps others from starting one until the
/// guard is dropped.
pub(crate) fn lock_spawning() -> MutexGuard<'static, ()> {
    SPAWNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A child process that is killed on drop, so that a test that panics leaves
/// no process behind.
#[derive(Debug, Default)]
pub struct ChildProcess {
    /// The process; `None` before it is started and after it was waited for.
    child: Mutex<Option<Child>>,
}

impl ChildProcess {
    /// Starts the process. It can be started again once it was waited for.
    pub fn start(&self, command: &mut Command) -> io::Result<()> {
        // Until the child has replaced its program, it holds copies of all sockets.
        let spawning = lock_spawning();
        let child = command.spawn()?;
        drop(spawning);
        *self.child() = Some(child);
        Ok(())
    }

    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the process id; `None` before the start and after the process
    /// was waited for.
    pub fn id(&self) -> Option<u32> {
        self.child().as_ref().map(Child::id)
    }

    /// Sends a signal to the process; does nothing if there is none.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        // The kernel doesn't reuse the id of a child that was not waited for.
        let child = self.child();
        let id = child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        let Some(id) = id.and_then(Pid::from_raw) else {
            return Ok(());
        };
        Ok(kill_process(id, signal)?)
    }

    /// Returns the exit status if the process has exited. The result is `None`
    /// while it runs, and after it was waited for.
    pub fn ended(&self) -> io::Result<Option<ExitStatus>> {
        match &mut *self.child() {
            Some(child) => child.try_wait(),
            None => Ok(None),
        }
    }

    /// Waits until the process exits; returns `None` if there is none.
    pub fn wait(&self) -> io::Result<Option<ExitStatus>> {
        let Some(mut child) = self.child().take() else {
            return Ok(None);
        };
        child.wait().map(Some)
    }

    /// Kills the process with SIGKILL and waits for it.
    pub fn end(&self) {
        if let Some(mut child) = self.child().take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.end();
    }
}

/// Returns a size from `/proc/<process>/status`, see proc(5). `field` includes
/// the colon, such as `VmRSS:`.
pub fn process_memory(process: u32, field: &str) -> Option<ByteCount> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(field))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(ByteCount(kibibytes * 1_024))
}
