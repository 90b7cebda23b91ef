//! Failures of a request to another process.

use std::fmt;

/// Failure of a request to another process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No connection could be made; nothing was sent.
    Connect(String),
    /// The request was certainly not sent.
    NotSent(String),
    /// The connection broke after a byte of the request may have left.
    Broken(String),
    /// Nothing came for too long after a byte may have left.
    TimedOut,
}

impl ClientError {
    /// Tells whether no byte of the request can have left.
    pub fn is_certainly_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent(_))
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(reason) => write!(f, "no connection: {reason}"),
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Broken(reason) => write!(f, "connection broke: {reason}"),
            Self::TimedOut => f.write_str("connection went silent"),
        }
    }
}
