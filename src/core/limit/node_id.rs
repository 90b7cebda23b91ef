//! Identity of an entry in messages between entries.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Identity of an entry: the hash of its host name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Returns the identity of the entry with this name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}
