//! Kinds of work whose speeds are learned separately.

use serde::Deserialize;
use serde::Serialize;

/// Kind of work at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkKind {
    /// Prefilling a prompt.
    Prefill,
    /// Generating output tokens.
    Decode,
    /// Serving a call without a prompt.
    Plain,
}

impl WorkKind {
    /// All kinds, by [`Self::index`].
    pub const ALL: [Self; 3] = [Self::Prefill, Self::Decode, Self::Plain];

    /// Returns the position in [`Self::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}
