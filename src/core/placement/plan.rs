//! Input and result of planning one request.

use super::CacheIdentity;
use super::PromptPrefix;
use super::ServerKey;

/// Request to be planned.
#[derive(Debug, Clone, Copy)]
pub struct PlanRequest<'a> {
    /// Pool that serves the request.
    pub pool: &'a str,
    /// Hashes of the prompt's prefixes; `None` for a service without prompts.
    pub prefix: Option<&'a PromptPrefix>,
    /// Servers that were tried already and are not chosen again.
    pub tried: &'a [ServerKey],
}

/// Server chosen for a request, and the predictions for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// Key of the server.
    pub server: ServerKey,
    /// Cache identity that the plan relies on.
    pub identity: CacheIdentity,
    /// Prompt tokens expected in the server's cache.
    pub cached_tokens: u32,
    /// Prompt tokens that the server is expected to compute.
    pub uncached_tokens: u32,
    /// Predicted time to the first token, in seconds.
    pub predicted_seconds: f64,
}
