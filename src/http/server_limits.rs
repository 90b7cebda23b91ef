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

/// Connections of pages at once: a balancer's and some operators'.
const PAGE_CONNECTIONS: usize = 16;

/// Bytes of a page's request head; browsers send less.
const PAGE_HEAD_BYTES: usize = 8_192;

/// Time for the head of a page's request; the balancer asks once a second.
const PAGE_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which a reader that acknowledges nothing counts as gone.
const PAGE_DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounds on readers of pages: the balancer and operators.
pub fn status_page_limits() -> ServerLimits {
    ServerLimits {
        max_connections: PAGE_CONNECTIONS,
        max_head_bytes: PAGE_HEAD_BYTES,
        head_timeout: PAGE_HEAD_TIMEOUT,
        dead_peer_timeout: PAGE_DEAD_PEER_TIMEOUT,
        drain_timeout: Duration::ZERO,
    }
}
