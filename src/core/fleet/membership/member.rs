//! Record that a backend server keeps in the store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::ServerName;
use crate::core::WeightsVersion;
use crate::core::fleet::Build;
use crate::core::fleet::ModelName;

/// A backend server's record in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of this run of the server.
    pub name: ServerName,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address at which it takes calls.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: String,
    /// Calls that it processes concurrently.
    pub slots: u32,
    /// Whether it takes new calls.
    pub state: MemberState,
    /// Weights version of each model it serves; empty for a plain service.
    pub models: Vec<(ModelName, WeightsVersion)>,
    /// Unix time of its start, in milliseconds; distinguishes two runs with the
    /// same name.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
    /// Version of its software.
    pub build: Build,
}

/// Whether a backend server takes new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Takes new calls.
    Ready,
    /// Is shutting down and takes no new calls.
    Draining,
}
