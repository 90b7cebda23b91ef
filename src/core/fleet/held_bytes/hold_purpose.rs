//! What held bytes are for.

/// What held bytes are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldPurpose {
    /// Body of a request that has not been admitted. It can still be refused.
    NewBody,
    /// Response of a call that was sent. It waits rather than fails.
    RunningCall,
    /// Larger send buffer of a connection whose caller reads slowly. It is not needed.
    SendBuffer,
}
