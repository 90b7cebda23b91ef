//! Error of a queue that cannot take another request.

/// The queue holds its maximum of waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;
