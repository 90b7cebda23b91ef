//! One host of the platform's list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// One host of the platform's list, which may lag behind the truth.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name, unique in the fleet; of an agent, the name of its server.
    pub name: String,
    /// What runs there.
    pub role: HostRole,
    /// Availability zone.
    pub zone: String,
    /// Pool of the backend server; empty for an entry.
    #[serde(default)]
    pub pool: String,
    /// Traffic address.
    pub traffic: SocketAddr,
    /// Peer address.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Whether the host is to stay.
    pub state: HostState,
}

/// What runs on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// An entry.
    Entry,
    /// An agent beside a backend server.
    Agent,
}

/// Whether a host is to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host takes work.
    Live,
    /// The host takes no new work.
    Leaving,
}
