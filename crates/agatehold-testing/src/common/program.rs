//! A process of a program that a test runs.

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

/// A process, which ends when this is dropped, so that a test that panics
/// leaves none behind.
#[derive(Debug, Default)]
pub struct Program {
    /// The process; `None` before its start and once its end was waited for.
    child: Mutex<Option<Child>>,
}

impl Program {
    /// Starts the process, also after its end.
    pub fn start(&self, command: &mut Command) -> io::Result<()> {
        let child = command.spawn()?;
        *self.child() = Some(child);
        Ok(())
    }

    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the id of the process, unless its end was waited for.
    pub fn id(&self) -> Option<u32> {
        self.child().as_ref().map(Child::id)
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        // A child that was not waited for keeps its id.
        let child = self.child();
        let id = child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        let Some(id) = id.and_then(Pid::from_raw) else {
            return Ok(());
        };
        Ok(kill_process(id, signal)?)
    }

    /// Returns how the process has ended, if it has and was not waited for.
    pub fn ended(&self) -> io::Result<Option<ExitStatus>> {
        match &mut *self.child() {
            Some(child) => child.try_wait(),
            None => Ok(None),
        }
    }

    /// Waits for the end of the process; `None` if there is none.
    pub fn wait(&self) -> io::Result<Option<ExitStatus>> {
        let Some(mut child) = self.child().take() else {
            return Ok(None);
        };
        child.wait().map(Some)
    }

    /// Ends the process at once.
    pub fn end(&self) {
        if let Some(mut child) = self.child().take() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.end();
    }
}

/// Returns a size in the `status` file of a process (proc(5)), such as that of
/// the field `VmRSS:`.
pub fn process_memory(process: u32, field: &str) -> Option<ByteCount> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(field))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(ByteCount(kibibytes * 1_024))
}
