//! Records of callers, targets and daemons, and checks of the guarantees over
//! these records.

mod checks;
mod records;

pub use checks::RequestCounts;
pub use checks::Violation;
pub use checks::check_at_most_once;
pub use checks::check_key_refusals;
pub use checks::check_not_run;
pub use checks::check_note_heads;
pub use checks::check_response_bodies;
pub use checks::count_refusals;
pub use checks::count_requests;
pub use records::CallOutcome;
pub use records::CallRecord;
pub use records::HeadObservation;
pub use records::RunEnd;
pub use records::RunRecord;
pub use records::parse_runs;
pub use records::request_marker;
