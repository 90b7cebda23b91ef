//! Reasons for which a request that may run at most once is refused.

/// Reason for which a request that may run at most once is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnceError {
    /// The idempotency key belongs to a different request.
    KeyReused,
    /// An earlier request with the key may have run; it is not run again.
    InDoubt,
    /// The store could not record the intent; nothing was sent.
    StoreUnavailable,
    /// The request ran, but its answer was too large to keep.
    ResponseNotStored,
}
