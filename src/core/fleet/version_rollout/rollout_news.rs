//! What entries tell each other of a rollout.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::RolloutPhase;
use crate::core::fleet::Build;

/// What an entry knows of a rollout, for its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutNews {
    /// Name of the service.
    pub service: String,
    /// Build that is to get the traffic.
    pub target: Build,
    /// Revision of the order.
    pub revision: u64,
    /// Highest known fencing token of a leader; 0 without one.
    pub fence: u64,
    /// Phase that this leader has announced.
    pub phase: RolloutPhase,
    /// Address on which the leader accepts control connections.
    pub leader: Option<SocketAddr>,
}
