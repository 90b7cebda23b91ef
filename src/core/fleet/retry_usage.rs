//! Use of a retry budget, for logs.

/// What a budget counted in the last window, and what it allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryUsage {
    /// Requests to the service at this entry.
    pub requests: u32,
    /// Retries that were allowed at this entry.
    pub retries: u32,
    /// Maximum number of retries at this entry.
    pub max_retries: f64,
    /// Known entries, including this one.
    pub entry_count: usize,
}
