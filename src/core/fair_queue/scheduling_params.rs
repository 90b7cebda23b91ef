//! What a waiting request asks of a server.

/// What a waiting request asks of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulingParams {
    /// Tokens to be computed: the uncached part of the prompt and the output.
    pub tokens: u64,
    /// Weight of the account, at least 1.
    pub weight: u32,
    /// Urgency; a higher number goes first, whatever its account.
    pub priority: i32,
}
