//! Fair sharing of a busy server between client accounts.

mod queue;
mod queue_full;
mod scheduling_params;

pub use queue::FairQueue;
pub use queue::QueuePosition;
pub use queue_full::QueueFull;
pub use scheduling_params::SchedulingParams;
