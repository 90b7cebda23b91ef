//! Host of the platform's host list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Host of the platform's host list. The list may lag behind the actual state of
/// the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name, unique in the fleet. For an agent it is the name of its backend
    /// server.
    pub name: String,
    /// Role of the process on the host.
    pub role: HostRole,
    /// Availability zone.
    pub zone: String,
    /// Pool of the backend server; empty for an entry.
    #[serde(default)]
    pub pool: String,
    /// Address that serves requests.
    pub traffic: SocketAddr,
    /// Peer address of the process, which serves control messages; `None` if it
    /// serves none.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Whether the platform is removing the host.
    pub state: HostState,
}

/// Role of the process on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// Entry, which serves callers.
    Entry,
    /// Agent beside a backend server.
    Agent,
}

/// Whether the platform is removing a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host stays and takes work.
    Live,
    /// The host is being removed and takes no new work.
    Leaving,
}
