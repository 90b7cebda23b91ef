//! A request to be planned and the plan for it.

use super::CacheIdentity;
use super::PromptPrefix;
use super::ServerKey;

/// A request to be planned.
#[derive(Debug, Clone, Copy)]
pub struct PlanRequest<'a> {
    /// Pool that serves the request.
    pub pool: &'a str,
    /// Fingerprints of the prompt; none for a plain service.
    pub prefix: Option<&'a PromptPrefix>,
    /// Servers that have been tried already.
    pub tried: &'a [ServerKey],
}

/// Where a request is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// The server.
    pub server: ServerKey,
    /// Cache identity that the plan relies on.
    pub identity: CacheIdentity,
    /// Prompt tokens expected in the server's cache.
    pub cached_tokens: u32,
    /// Prompt tokens expected to be computed.
    pub uncached_tokens: u32,
    /// Predicted time to the first token, in seconds.
    pub predicted_seconds: f64,
}
