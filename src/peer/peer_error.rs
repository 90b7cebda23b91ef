//! Errors that a process returns for a control message.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Reason for which a process refused a control message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerError {
    /// The role of the process does not implement the message.
    NotServed,
    /// The content of the message is invalid; nothing was changed.
    #[serde(rename = "faulty")]
    Invalid,
    /// The process is draining and takes no new work.
    Draining,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotServed => "message not served by this role",
            Self::Invalid => "invalid message content",
            Self::Draining => "process is draining",
        })
    }
}
