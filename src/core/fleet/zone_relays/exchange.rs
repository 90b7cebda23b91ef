//! How an entry exchanges its state with a peer.

use std::time::Duration;

/// How an entry exchanges its state with one peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exchange {
    /// Directly, at the interval that follows from the size of the fleet.
    Direct,
    /// Directly, at this interval: both are entries of one zone, or relays.
    Every(Duration),
    /// Only through relays.
    ThroughRelays,
}
