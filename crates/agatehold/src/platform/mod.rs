//! The platform threads, which make calls to the platform.
//!
//! Calls block, so they run on these threads; the answers are sent to the
//! control thread as inputs. A call that does not fit into the queue counts as
//! failed.

mod call;
mod notes;

use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;

use agatehold_core::control::CLAIM_LEASE_TTL_MS;
use agatehold_core::control::PermitVersion;
use agatehold_core::control::PermitWrite;
use agatehold_core::ejection::PermitRecord;
use agatehold_core::ids::NoteNumber;
use agatehold_core::ids::ServiceName;
use agatehold_core::note::Head;
use agatehold_core::note::HeadRecord;
use agatehold_core::replication::WriteBack;
use agatehold_core::units::DurationMs;
use agatehold_core::units::TimeMs;
use agatehold_wire::platform::HostListRow;
use agatehold_wire::platform::LeaseId;
use agatehold_wire::platform::PlatformAnswer;
use agatehold_wire::platform::PlatformRequest;
use agatehold_wire::platform::ValueVersion;
use agatehold_wire::platform::decode_head;
use agatehold_wire::platform::decode_permits;
use agatehold_wire::platform::encode_permits;
use agatehold_wire::platform::head_key;
use agatehold_wire::platform::parse_permits_key;
use agatehold_wire::platform::permits_key;
use agatehold_wire::platform::permits_prefix;

use crate::control::Input;
use crate::shared::Shared;

use call::PlatformClient;

/// The maximum number of jobs that are queued for the platform threads.
const JOB_QUEUE_LENGTH: usize = 64;

/// The number of threads for calls other than watches. There are two, so that
/// reading many notes does not delay the confirmation of permits.
const CALL_THREADS: usize = 2;

/// A job for the platform threads.
#[derive(Clone, Debug)]
pub(crate) enum PlatformJob {
    /// Read the head of the chain of notes.
    ReadHead,
    /// Wait up to this time for the head to change from the one last read.
    WatchHead(DurationMs),
    /// Read the notes after this number.
    ReadNotes(NoteNumber),
    /// Write the notes that the platform lacks after it was restored to an
    /// older state.
    WriteBack(Box<WriteBack>),
    /// Read the host list.
    ListHosts,
    /// List the permit records.
    ListPermits,
    /// Read a permit record.
    ReadPermit(ServiceName),
    /// Write a permit record.
    WritePermit(Box<PermitWrite>),
    /// Create the lease for the records of claimed idempotency keys.
    CreateClaimLease,
}

/// The queues of jobs for the platform threads.
#[derive(Clone)]
pub(crate) struct PlatformQueue {
    calls: Sender<PlatformJob>,
    watches: Sender<PlatformJob>,
}

impl PlatformQueue {
    /// Queues a job; returns false if the queue is full or closed.
    pub(crate) fn push(&self, job: PlatformJob) -> bool {
        let queue = match job {
            PlatformJob::WatchHead(_) => &self.watches,
            _ => &self.calls,
        };
        queue.try_send(job).is_ok()
    }
}

/// The running platform threads.
pub(crate) struct PlatformThreads {
    threads: Vec<JoinHandle<()>>,
    queue: PlatformQueue,
}

impl PlatformThreads {
    /// Starts the threads, which send their answers to `inputs`.
    pub(crate) fn start(shared: &Arc<Shared>, inputs: &Sender<Input>) -> io::Result<Self> {
        let (calls, calls_receiver) = bounded(JOB_QUEUE_LENGTH);
        let (watches, watches_receiver) = bounded(1);
        let mut threads = Vec::new();
        for number in 0..CALL_THREADS {
            let name = format!("platform-{number}");
            let jobs = calls_receiver.clone();
            threads.push(start_thread(name, shared, inputs, jobs)?);
        }
        let name = "platform-watch".to_owned();
        threads.push(start_thread(name, shared, inputs, watches_receiver)?);
        Ok(Self {
            threads,
            queue: PlatformQueue { calls, watches },
        })
    }

    /// Returns the queue of jobs.
    pub(crate) fn queue(&self) -> PlatformQueue {
        self.queue.clone()
    }

    /// Closes this handle of the queues and joins the threads that have ended.
    /// Threads end once all handles of the queues are dropped. A thread that is
    /// still in a call is not joined, since a call can't be interrupted; it
    /// ends with the process.
    pub(crate) fn close(self) {
        drop(self.queue);
        for thread in self.threads {
            if thread.is_finished() && thread.join().is_err() {
                log::error!("a platform thread panicked");
            }
        }
    }
}

fn start_thread(
    name: String,
    shared: &Arc<Shared>,
    inputs: &Sender<Input>,
    jobs: Receiver<PlatformJob>,
) -> io::Result<JoinHandle<()>> {
    let shared = Arc::clone(shared);
    let inputs = inputs.clone();
    std::thread::Builder::new()
        .name(name)
        .spawn(move || run_jobs(&shared, &jobs, &inputs))
}

fn run_jobs(shared: &Shared, jobs: &Receiver<PlatformJob>, inputs: &Sender<Input>) {
    let client = PlatformClient::new(&shared.settings.platform);
    let mut watched_version = ValueVersion::default();
    for job in jobs {
        let sent_at = shared.clock.now();
        let input = run_job(&client, job, &mut watched_version, shared, sent_at);
        if inputs.send(input).is_err() {
            return;
        }
    }
}

fn run_job(
    client: &PlatformClient,
    job: PlatformJob,
    watched_version: &mut ValueVersion,
    shared: &Shared,
    sent_at: TimeMs,
) -> Input {
    match job {
        PlatformJob::ReadHead => Input::HeadRead {
            head: read_head(client).map(|(_, head)| head),
            sent_at,
        },
        PlatformJob::WatchHead(wait_ms) => {
            watch_head(client, wait_ms, watched_version, shared, sent_at)
        }
        PlatformJob::ReadNotes(after) => Input::PlatformNotes(notes::read_notes(client, after)),
        PlatformJob::WriteBack(write_back) => {
            let written = notes::write_back(client, &write_back).is_some();
            log::warn!(
                "write-back of the current notes to the platform: head={} written={written}",
                write_back.head.number
            );
            let sent_at = shared.clock.now();
            Input::HeadRead {
                head: read_head(client).map(|(_, head)| head),
                sent_at,
            }
        }
        PlatformJob::ListHosts => Input::HostsRead {
            rows: list_hosts(client),
            sent_at,
        },
        PlatformJob::ListPermits => Input::PermitsListed {
            listed: list_permits(client),
            sent_at,
        },
        PlatformJob::ReadPermit(service) => Input::PermitRead {
            answer: read_permit(client, &service),
            service,
            sent_at,
        },
        PlatformJob::CreateClaimLease => Input::ClaimLease {
            lease: create_claim_lease(client),
            sent_at,
        },
        PlatformJob::WritePermit(write) => Input::PermitWritten {
            version: write_permit(client, &write, sent_at),
            write,
            sent_at,
        },
    }
}

/// Reads the head and its version. A platform without notes has the head of an
/// empty chain and version 0.
fn read_head(client: &PlatformClient) -> Option<(ValueVersion, Head)> {
    let answer = client.call(&PlatformRequest::Get { key: head_key() })?;
    decode_head_answer(answer)
}

fn decode_head_answer(answer: PlatformAnswer) -> Option<(ValueVersion, Head)> {
    match answer {
        PlatformAnswer::Value { version, value } => {
            let HeadRecord { head, .. } = decode_head(&value).ok()?;
            Some((version, head))
        }
        PlatformAnswer::Missing => Some((ValueVersion(0), Head::default())),
        _ => None,
    }
}

/// Waits for a newer version of the head. If the wait times out, reads the
/// head instead: after the platform was restored to an older state, the version
/// is lower, which does not end the watch.
fn watch_head(
    client: &PlatformClient,
    wait_ms: DurationMs,
    watched_version: &mut ValueVersion,
    shared: &Shared,
    watch_started_at: TimeMs,
) -> Input {
    let request = PlatformRequest::Watch {
        key: head_key(),
        after: *watched_version,
        wait_ms,
    };
    let mut sent_at = watch_started_at;
    let head_read = match client.watch(&request, wait_ms) {
        Some(PlatformAnswer::Unchanged) => {
            sent_at = shared.clock.now();
            read_head(client)
        }
        Some(answer) => decode_head_answer(answer),
        None => None,
    };
    if let Some((version, _)) = head_read {
        *watched_version = version;
    }
    Input::HeadRead {
        head: head_read.map(|(_, head)| head),
        sent_at,
    }
}

fn create_claim_lease(client: &PlatformClient) -> Option<LeaseId> {
    let request = PlatformRequest::CreateLease {
        ttl_ms: CLAIM_LEASE_TTL_MS,
    };
    match client.call(&request)? {
        PlatformAnswer::LeaseCreated(lease) => Some(lease),
        _ => None,
    }
}

fn list_hosts(client: &PlatformClient) -> Option<Vec<HostListRow>> {
    match client.call(&PlatformRequest::ListHosts)? {
        PlatformAnswer::Hosts(rows) => Some(rows),
        _ => None,
    }
}

fn list_permits(client: &PlatformClient) -> Option<Vec<(ServiceName, PermitVersion)>> {
    let request = PlatformRequest::ListKeys {
        prefix: permits_prefix(),
    };
    let PlatformAnswer::Keys(keys) = client.call(&request)? else {
        return None;
    };
    let mut listed = Vec::with_capacity(keys.len());
    for (key, version) in keys {
        if let Some(service) = parse_permits_key(&key) {
            listed.push((service, PermitVersion(version.0)));
        }
    }
    Some(listed)
}

fn read_permit(
    client: &PlatformClient,
    service: &ServiceName,
) -> Option<(PermitVersion, PermitRecord)> {
    let request = PlatformRequest::Get {
        key: permits_key(service),
    };
    match client.call(&request)? {
        PlatformAnswer::Value { version, value } => {
            let record = decode_permits(&value).ok()?;
            Some((PermitVersion(version.0), record))
        }
        PlatformAnswer::Missing => Some((PermitVersion(0), Default::default())),
        _ => None,
    }
}

fn write_permit(
    client: &PlatformClient,
    write: &PermitWrite,
    now: TimeMs,
) -> Option<PermitVersion> {
    if write.is_outdated(now) {
        return None;
    }
    let value = encode_permits(&write.record).ok()?;
    let key = permits_key(&write.service);
    let request = match write.version {
        PermitVersion(0) => PlatformRequest::Create {
            key,
            value,
            lease: None,
        },
        PermitVersion(version) => PlatformRequest::CompareAndSwap {
            key,
            version: ValueVersion(version),
            value,
            lease: None,
        },
    };
    match client.call(&request)? {
        PlatformAnswer::Stored { version } => Some(PermitVersion(version.0)),
        _ => None,
    }
}
