//! Shares of a busy server between client accounts.

mod queue;
mod queue_full;
mod waiting_cost;

pub use queue::FairQueue;
pub use queue_full::QueueFull;
pub use waiting_cost::WaitingCost;
