//! Failures of decoding frames.

use std::fmt;

/// Failure of decoding a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// A frame is longer than allowed.
    TooLong,
    /// A frame's content is no message.
    Malformed(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("frame too long"),
            Self::Malformed(reason) => write!(f, "malformed frame: {reason}"),
        }
    }
}
