//! Key of a stream across the calls that carry it.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a stream by the hash of the id of the call that brought its first
/// event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Key of a stream whose first call is not stated; no origin is recorded for it.
    pub const UNNAMED: Self = Self(0);

    /// Hashes the id of the call that brought the first event.
    pub fn from_call_id(id: &[u8]) -> Self {
        Self(xxh3_64(id))
    }
}
