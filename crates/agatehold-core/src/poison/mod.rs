//! Poison requests: requests that crash the targets that run them.
//!
//! Daemons tell each other about crashes with crash marks, and refuse a request
//! that has crashed two targets. A request is recognised by its fingerprint. A lost
//! connection is a suspicion until it is known whether the target has crashed.

mod admit;
mod fingerprint;
mod rows;
mod suspect;
mod trial;

pub use admit::Admission;
pub use admit::CRASHES_MAX;
pub use admit::RESEND_DELAY_MS;
pub use admit::admit;
pub use admit::clear;
pub use admit::clear_target;
pub use admit::crash_count;
pub use admit::deferral;
pub use admit::end_resend;
pub use admit::is_blamed;
pub(crate) use admit::is_known_crash;
pub use admit::is_refused;
pub use admit::mark_crash;
pub use admit::refused_requests;
pub use admit::revoke_marks;
pub use fingerprint::RequestIdentity;
pub use fingerprint::fingerprint;
pub use rows::CrashMark;
pub use rows::PoisonRow;
pub use rows::PoisonTable;
pub use rows::Suspicion;
pub use suspect::confirm;
pub use suspect::suspect;
pub use suspect::withdraw;
pub use trial::begin_trial;
