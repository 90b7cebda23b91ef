//! Refusal of a request that may run at most once.

/// Reason for which a request that may run at most once is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnceError {
    /// The idempotency key belongs to a different request.
    KeyReused,
    /// An earlier request with the key may have run, so this one is not sent.
    InDoubt,
    /// The store could not record the intent; nothing was sent.
    StoreUnavailable,
    /// The request ran before, but its response was too large to store.
    ResponseNotStored,
}
