//! Whether a failed attempt may be followed by another one.

mod budget;
mod failure;
mod policy;

pub use budget::RetryBudget;
pub use failure::AttemptFailure;
pub use policy::GiveUpReason;
pub use policy::RetryPolicy;
