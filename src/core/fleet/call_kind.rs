//! What may be repeated of a call.

/// What may be repeated of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream of events.
    Stream {
        /// Another server may go on after the last event that was delivered.
        resumable: bool,
    },
}

impl CallKind {
    /// Tells whether a call may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
