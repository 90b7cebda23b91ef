//! Decision whether a failed attempt is retried.

mod budget;
mod failure;
mod policy;

pub use budget::RetryBudget;
pub use failure::AttemptFailure;
pub use policy::GiveUpReason;
pub use policy::RetryPolicy;
