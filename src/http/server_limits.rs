//! Bounds on what callers of a listener may cost.

use std::time::Duration;

/// Bounds on what callers of one listener may cost.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Connections open at once; further ones wait unaccepted.
    pub max_connections: usize,
    /// Bytes of a request's head, headers included; hyper needs 8 KiB.
    pub max_head_bytes: usize,
    /// Time in which a whole head must arrive.
    pub head_timeout: Duration,
    /// Time after which a peer that acknowledges nothing counts as gone.
    pub dead_peer_timeout: Duration,
    /// Time that a drain waits for running requests.
    pub drain_timeout: Duration,
}
