//! Failures of a call to a peer.

use std::fmt;

use tarpc::client::RpcError;

use super::PeerError;

/// Failure of a call to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The control thread of this process does not run.
    NotStarted,
    /// Too many calls are under way.
    TooManyCalls,
    /// No connection could be made.
    Connect(String),
    /// No answer came before the deadline.
    Timeout,
    /// The connection broke.
    Disconnected(String),
    /// The peer refused the message.
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
            Self::NotStarted => f.write_str("control thread not started"),
            Self::TooManyCalls => f.write_str("too many calls under way"),
            Self::Connect(reason) => write!(f, "no connection: {reason}"),
            Self::Timeout => f.write_str("no answer before the deadline"),
            Self::Disconnected(reason) => write!(f, "connection broke: {reason}"),
            Self::Refused(e) => write!(f, "refused: {e}"),
        }
    }
}
