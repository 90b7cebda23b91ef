//! Key of one run of a backend server.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::ServerName;

/// Identifies one run of a backend server in all processes: hash of its name and
/// start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunKey(pub u64);

impl RunKey {
    /// Hashes the name and the start time of a run, as its record states them.
    pub fn new(server: &ServerName, started_at_ms: Option<u64>) -> Self {
        let seed = started_at_ms.unwrap_or(0);
        Self(xxh3_64_with_seed(server.as_str().as_bytes(), seed))
    }
}
