//! Decision on bytes that are to be held.

/// Decision on bytes that are to be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldDecision {
    /// The bytes are counted as held.
    Held,
    /// The bytes may be held once others are released.
    Wait,
    /// The bytes must not be held.
    Refuse,
}
