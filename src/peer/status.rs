//! Identity and state of a process, as peers and the command line read them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::core::ProcessIncarnation;
use crate::core::Revision;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Serves requests of callers.
    Entry,
    /// Runs beside a backend server and admits attempts to it.
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

/// Identity and state of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the process: of an entry that of its host, of an agent that of its
    /// backend server.
    pub name: String,
    /// Role of the process.
    pub role: Role,
    /// Availability zone of its host.
    pub zone: String,
    /// Current incarnation of the process.
    pub incarnation: ProcessIncarnation,
    /// Rules revision in force.
    pub revision: Revision,
    /// The process is draining and takes no new work.
    pub draining: bool,
    /// Bytes received over control connections since the start.
    pub control_received: u64,
    /// Bytes sent over control connections since the start.
    pub control_sent: u64,
}
