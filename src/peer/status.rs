//! Who a process is and how it is.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::core::ProcessIncarnation;
use crate::core::Revision;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Guards a backend server.
    Agent,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
        })
    }
}

/// Who a process is and how it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the host or backend server.
    pub name: String,
    /// Role of the process.
    pub role: Role,
    /// Availability zone of its host.
    pub zone: String,
    /// This run of the process.
    pub incarnation: ProcessIncarnation,
    /// Rules revision in force.
    pub revision: Revision,
    /// The process takes no new work.
    pub draining: bool,
    /// Bytes received over control connections since the start.
    pub control_received: u64,
    /// Bytes sent over control connections since the start.
    pub control_sent: u64,
}
