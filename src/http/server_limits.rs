//! Limits of a listener, and those of the status pages.

use std::time::Duration;

use super::ReaderLimits;

/// Limits on the resources that callers of one listener can use.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Connections open simultaneously; further ones wait in the listen backlog.
    pub max_connections: usize,
    /// Bytes of a request head: request line and headers. hyper requires at
    /// least 8 KiB.
    pub max_head_bytes: usize,
    /// Time in which a whole request head must arrive.
    pub head_timeout: Duration,
    /// Time after which a peer that acknowledges nothing is considered dead.
    pub dead_peer_timeout: Duration,
    /// Time for which a drain waits for running requests.
    pub drain_timeout: Duration,
    /// Limits on callers that read slowly; `None` serves them without limit.
    pub reader: Option<ReaderLimits>,
}

/// Enough for the load balancer and a few operators.
const MAX_STATUS_PAGE_CONNECTIONS: usize = 32;

/// The minimum that hyper accepts; browsers send less.
const MAX_STATUS_PAGE_HEAD_BYTES: usize = 8_192;

/// Ten times the load balancer's polling interval of one second.
const STATUS_PAGE_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a reader that acknowledges nothing is considered dead.
const STATUS_PAGE_DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the limits for status pages, read by the load balancer and by
/// operators. A drain does not wait for them.
pub fn status_page_limits(reader: ReaderLimits) -> ServerLimits {
    ServerLimits {
        max_connections: MAX_STATUS_PAGE_CONNECTIONS,
        max_head_bytes: MAX_STATUS_PAGE_HEAD_BYTES,
        head_timeout: STATUS_PAGE_HEAD_TIMEOUT,
        dead_peer_timeout: STATUS_PAGE_DEAD_PEER_TIMEOUT,
        drain_timeout: Duration::ZERO,
        reader: Some(reader),
    }
}
