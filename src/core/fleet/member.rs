//! What a backend server says of itself in the store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::ModelName;
use crate::core::ServerName;
use crate::core::WeightsVersion;

/// What a backend server says of itself in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of this run of the server.
    pub name: ServerName,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Calls that it works on at once.
    pub slots: u32,
    /// Whether it takes new calls.
    pub state: MemberState,
    /// Weights versions of its models; empty for a plain service.
    pub models: Vec<(ModelName, WeightsVersion)>,
    /// Unix time of its start, in milliseconds; tells two runs under one name
    /// apart.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
}

/// Whether a backend server takes new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It takes new calls.
    Ready,
    /// It is leaving.
    Draining,
}
