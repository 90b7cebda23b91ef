//! Errors of encoding and decoding frames.

use std::fmt;

/// Error of encoding or decoding a frame. After a decoding error, the rest of
/// the byte stream cannot be decoded either.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// The frame is longer than 16 MiB.
    TooLong,
    /// The content of the frame is not valid MessagePack of a frame.
    Malformed(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("frame is longer than 16 MiB"),
            Self::Malformed(reason) => write!(f, "malformed frame: {reason}"),
        }
    }
}
