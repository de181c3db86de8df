//! Detects failing and slow targets from the outcome of real requests.

mod baseline;
mod cusum;
mod evaluate_targets;
mod median;
mod own_path;
mod peers;
mod record;
mod rows;

pub use baseline::next_overdue_at;
pub use baseline::refresh_baselines;
pub use cusum::Cusum;
pub use cusum::alarm_threshold;
pub use evaluate_targets::Evaluation;
pub use evaluate_targets::PermitProposal;
pub use evaluate_targets::Verdict;
pub use evaluate_targets::evaluate_targets;
pub use evaluate_targets::write_verdicts;
pub use median::MedianEstimate;
pub use peers::PeerEvidence;
pub use peers::drop_reporter;
pub use peers::merge_peer_evidence;
pub use peers::reportable_evidence;
pub use record::record_outcomes;
pub use rows::BreakerState;
pub use rows::HealthTables;
pub use rows::HoldHistory;
pub use rows::LogLikelihood;
pub use rows::ServiceBaseline;
pub use rows::TargetHealth;
