//! Decides how requests are sent to registered targets: which target is chosen,
//! what follows from the outcome of an attempt, and whether a request is sent
//! again.

mod budget;
mod budgets;
mod connection_reuse;
pub mod cost;
mod failure_detector;
mod homes;
mod load;
mod pick;
mod service_stats;
mod statements;
mod step;
mod stop;
mod suspension;
mod target_counts;
mod targets;
mod weighted_round_robin;

pub use budget::BudgetState;
pub use budget::ResendBudget;
pub use budget::ResendPolicy;
pub use budgets::ResendBudgets;
pub use budgets::ShareChange;
pub use connection_reuse::ConnectionReuse;
pub use connection_reuse::idle_connections_max;
pub use connection_reuse::was_dead_before;
pub use failure_detector::FailureDetector;
pub use failure_detector::attempt_timeout;
pub use homes::EntryDaemon;
pub use homes::choose_homes;
pub use load::LoadReport;
pub use load::RequestCounts;
pub use pick::Choice;
pub use pick::DaemonRank;
pub use pick::PickRequest;
pub use pick::pick_live_target;
pub use service_stats::PressureChange;
pub use service_stats::PressureReport;
pub use service_stats::ServedCounts;
pub use service_stats::ServiceStats;
pub use step::AttemptFacts;
pub use step::Decision;
pub use step::after_attempt;
pub use stop::StopPhase;
pub use stop::announced_keep_alive;
pub use stop::may_exit;
pub use stop::may_take_request;
pub use stop::stop_phase;
pub use suspension::ClockReading;
pub use suspension::SuspensionDetector;
pub use target_counts::TargetStateCounts;
pub use target_counts::count_target_states;
pub use targets::LiveTarget;
pub use targets::LiveTargets;
pub use targets::TargetUse;
pub use weighted_round_robin::WeightedRoundRobin;
