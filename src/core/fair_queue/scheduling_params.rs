//! Cost, weight and priority of a waiting request.

/// Parameters by which a waiting request is scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulingParams {
    /// Cost in tokens to compute: the uncached part of the prompt and the output.
    pub tokens: u64,
    /// Weight of the account, at least 1; an account's share is proportional to
    /// it.
    pub weight: u32,
    /// Priority; a request with a higher number is served first, whatever its
    /// account.
    pub priority: i32,
    /// Order among requests of the same priority whose start tags fall into the
    /// same [`quantum`](super::FairQueue::with_quantum); the lowest is first.
    pub order: u64,
}
