//! Retries: the retry budget and the decision after each attempt.

mod budget;
mod step;

pub use budget::RETRY_FLOOR;
pub use budget::RetryBudget;
pub use step::ATTEMPTS_MAX;
pub use step::Attempts;
pub use step::Next;
pub use step::RUNS_MAX;
pub use step::RequestFacts;
pub use step::next_forward_step;
pub use step::next_step;
