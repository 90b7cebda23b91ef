//! Metadata that an entry sends to an agent with one attempt of a request.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::AccountName;
use super::CacheSalt;
use super::EngineIncarnation;
use super::ProcessIncarnation;
use super::RequestId;
use super::Revision;
use super::WeightsVersion;

/// Metadata that an entry sends to an agent with one attempt of a request, as
/// JSON in one header beside the caller's body. It holds the id of the
/// caller's key, never the key itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Identifier of the request.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Client account that the request runs for; `None` on an open route.
    pub account: Option<AccountName>,
    /// Id of the key that came with the request; `None` on an open route.
    pub key_id: Option<String>,
    /// Revision of the rules under which the attempt was planned.
    pub revision: Revision,
    /// Incarnation of the agent for which the attempt was planned. The agent
    /// refuses an attempt that was planned for another incarnation.
    pub agent: Option<ProcessIncarnation>,
    /// Incarnation of the engine for which the attempt was planned.
    pub engine: Option<EngineIncarnation>,
    /// Version of the weights for which the attempt was planned.
    pub weights: Option<WeightsVersion>,
    /// Salt that keeps the account's cache entries apart from all others.
    pub cache_salt: Option<CacheSalt>,
    /// Milliseconds from sending to the caller's deadline.
    pub deadline_ms: u64,
    /// Priority; a request with a higher number is served first.
    pub priority: i32,
    /// The request may run at most once, so no attempt of it may follow one
    /// that may have run.
    pub once: bool,
    /// Hybrid logical clock timestamp of the sending; see the timeline.
    #[serde(default)]
    pub stamp: u64,
    /// Peer address of the entry, from which the agent can fetch the rules.
    #[serde(default)]
    pub entry: Option<SocketAddr>,
    /// Number of the last stream event that the entry received. If present,
    /// the attempt already runs and its stream resumes after that event.
    #[serde(default)]
    pub resume_after: Option<u64>,
}

impl Envelope {
    /// Returns the id of the attempt, by which connections and the engine know it.
    pub fn attempt_id(&self) -> String {
        format!("{}-{}", self.request, self.attempt)
    }
}
