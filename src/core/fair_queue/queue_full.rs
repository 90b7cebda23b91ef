//! Refusal of a request for which there is no place to wait.

/// Too many requests wait already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;
