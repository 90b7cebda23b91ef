//! Failures of a request to another process, and whether each rules out that
//! the request was sent.

use std::fmt;

/// Failure of a request to another process. The variants separate requests
/// that were certainly not sent, which may be sent again, from those that the
/// server may have received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No connection could be established; nothing was sent.
    Connect(String),
    /// The connection was closed before any byte of the request was sent.
    NotSent(String),
    /// The connection broke, or its response was unusable, after a part of the
    /// request may have been sent.
    Broken(String),
    /// A timeout ran out after a part of the request may have been sent.
    TimedOut,
}

impl ClientError {
    /// Returns whether no byte of the request can have been sent.
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
