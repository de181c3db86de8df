//! Retries: the retry budget and the decision after each attempt.

mod budget;
mod step;

pub use budget::RetryBudget;
pub use budget::SAVED_RETRIES_MIN;
pub use step::ATTEMPTS_MAX;
pub use step::Attempts;
pub use step::NextStep;
pub use step::RUNS_MAX;
pub use step::RequestFacts;
pub use step::next_forward_step;
pub use step::next_step;
