//! Determines which calls of a route may be retried or resumed.

/// Retry semantics of a route's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Must run at most once.
    Once,
    /// Answers with a stream of events.
    Stream {
        /// Whether another server may continue after the last delivered event.
        resumable: bool,
    },
}

impl CallKind {
    /// Returns whether a call may be sent again although an earlier attempt may
    /// have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
