//! Reasons for which a call to a peer fails.

use std::fmt;

use tarpc::client::RpcError;

use super::PeerError;

/// Reason for which a call to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The control thread of this process has not started or has stopped.
    NotStarted,
    /// This process has too many concurrent calls; the call was not sent.
    TooManyCalls,
    /// The connection could not be established.
    Connect(String),
    /// No response came before the deadline; the peer may have processed the call.
    Timeout,
    /// The connection was lost; the peer may have processed the call.
    Disconnected(String),
    /// The peer returned an error.
    Refused(PeerError),
}

impl From<RpcError> for CallError {
    fn from(e: RpcError) -> Self {
        match e {
            RpcError::DeadlineExceeded => Self::Timeout,
            other => Self::Disconnected(other.to_string()),
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotStarted => f.write_str("control thread not running"),
            Self::TooManyCalls => f.write_str("too many concurrent calls"),
            Self::Connect(reason) => write!(f, "connect failed: {reason}"),
            Self::Timeout => f.write_str("no response before the deadline"),
            Self::Disconnected(reason) => write!(f, "connection lost: {reason}"),
            Self::Refused(e) => write!(f, "refused by the peer: {e}"),
        }
    }
}
