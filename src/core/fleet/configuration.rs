//! One whole configuration of the fleet.

use std::time::Duration;

use super::AccountRule;
use super::RouteRule;
use super::ServiceRule;

/// One whole configuration of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version; rises with each change, in uneven steps.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services.
    pub services: Vec<ServiceRule>,
    /// Bounds on what callers may cost.
    pub limits: CallerLimits,
    /// Client accounts; without any, no key is asked for.
    pub accounts: Vec<AccountRule>,
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time in which a whole head must arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits while no configuration states any: those of common HTTP servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_body_bytes: 4 * 1_024 * 1_024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
