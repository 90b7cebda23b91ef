//! Reasons for which a process refuses a control message.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Reason for which a process refuses a control message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerError {
    /// The role of the process does not serve the message.
    NotServed,
    /// The content of the message is faulty; nothing was changed.
    #[serde(rename = "faulty")]
    Invalid,
    /// The process takes no new work.
    Draining,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotServed => "this role does not serve the message",
            Self::Invalid => "content of the message is faulty",
            Self::Draining => "process is draining",
        })
    }
}
