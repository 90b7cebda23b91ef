//! Failures of calls to the systems around the product.

use std::fmt;

/// Failure of a call to a system around the product.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PortError {
    /// It could not be reached, or its answer did not come.
    Unreachable(String),
    /// It turned the call away without doing anything.
    Rejected(u16),
    /// The history asked for is not kept any more.
    HistoryCompacted,
    /// Its answer cannot be read.
    Malformed(String),
}

impl fmt::Display for PortError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "unreachable: {reason}"),
            Self::Rejected(status) => write!(f, "turned away with status {status}"),
            Self::HistoryCompacted => f.write_str("history lost"),
            Self::Malformed(reason) => write!(f, "malformed answer: {reason}"),
        }
    }
}
