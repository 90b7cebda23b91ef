//! Errors of requests to the systems around the program.

use std::fmt;
use std::time::Duration;

/// Error of a request to a system around the program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PortError {
    /// The system could not be reached or sent no response in time; holds the
    /// reason.
    Unreachable(String),
    /// The system rejected the request without acting on it; holds the HTTP
    /// status.
    Rejected(u16),
    /// The system rejected the request, and wants none for a time.
    Paused(Duration),
    /// The requested history is no longer kept.
    HistoryCompacted,
    /// The system was restored from an older copy since the request was built; what
    /// is known of it has to be read anew.
    StoreRestored,
    /// The response states an older state than one before it, so that it was meant for an
    /// earlier request.
    Outdated,
    /// The response cannot be decoded; holds the reason.
    Malformed(String),
}

impl fmt::Display for PortError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "unreachable: {reason}"),
            Self::Rejected(status) => write!(f, "rejected with status {status}"),
            Self::Paused(pause) => write!(f, "wants no requests for {} ms", pause.as_millis()),
            Self::HistoryCompacted => f.write_str("history no longer kept"),
            Self::StoreRestored => f.write_str("restored from an older copy"),
            Self::Outdated => f.write_str("response to an earlier request"),
            Self::Malformed(reason) => write!(f, "malformed response: {reason}"),
        }
    }
}
