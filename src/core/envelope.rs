//! What an entry tells an agent about one attempt of a request.

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

/// What an entry tells an agent about one attempt of a request. It travels
/// as JSON in one header beside the caller's body; the caller's key never
/// does, only the key's id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Identity of the request.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Client account the request runs for; none on an open route.
    pub account: Option<AccountName>,
    /// Id of the key that came with the request; none on an open route.
    pub key_id: Option<String>,
    /// Rules revision the attempt was planned on.
    pub revision: Revision,
    /// Run of the agent the attempt was planned for.
    pub agent: Option<ProcessIncarnation>,
    /// Run of the engine the attempt was planned for.
    pub engine: Option<EngineIncarnation>,
    /// Weights the attempt was planned for.
    pub weights: Option<WeightsVersion>,
    /// Separates this account's cache entries from all others.
    pub cache_salt: Option<CacheSalt>,
    /// Milliseconds left until the caller's deadline, at the time of sending.
    pub deadline_ms: u64,
    /// Urgency; a higher number goes first.
    pub priority: i32,
    /// The request may run at most once.
    pub once: bool,
    /// Time line stamp of the sending.
    #[serde(default)]
    pub stamp: u64,
    /// Peer address of the entry, where its rules can be had.
    #[serde(default)]
    pub entry: Option<SocketAddr>,
    /// Number of the last event that arrived; the attempt runs already and
    /// its stream is to go on after it.
    #[serde(default)]
    pub resume_after: Option<u64>,
}
