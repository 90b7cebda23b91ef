//! Complete configuration of the fleet, replaced as a whole when a newer
//! version arrives.

use std::time::Duration;

use super::AccountRule;
use super::RouteRule;
use super::ServiceRule;

/// Routes, services, limits and client accounts of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version number; increases with each change, not always by 1.
    pub version: u64,
    /// Routes, which map host names and paths to services.
    pub routes: Vec<RouteRule>,
    /// Services that routes refer to.
    pub services: Vec<ServiceRule>,
    /// Request limits that apply to every caller.
    pub limits: CallerLimits,
    /// Client accounts; if empty, no API key is required.
    pub accounts: Vec<AccountRule>,
}

/// Limits on the size and duration of a caller's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's headers, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which all headers must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits used without a configuration: those of common HTTP
    /// servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_body_bytes: 4 * 1_024 * 1_024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
