//! Key of one run of a backend server.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::ServerName;

/// Identifies one run of a backend server in all processes: hash of its name and
/// start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunKey(pub u64);

impl RunKey {
    /// Hashes the name and the start time of a run, as its record states them.
    pub fn new(server: &ServerName, started_at_ms: Option<u64>) -> Self {
        let mut run = server.as_str().as_bytes().to_vec();
        run.extend(started_at_ms.unwrap_or(0).to_be_bytes());
        Self(xxh3_64(&run))
    }
}

#[cfg(test)]
mod tests {
    use std::collections::HashSet;

    use super::*;

    /// Guards against runs of servers with short names that start together having one
    /// key: as a seed, the start time is only added to the last character.
    #[test]
    fn new_short_names_are_distinct() {
        let names: Vec<ServerName> = ('0'..='9')
            .map(|digit| ServerName::from(format!("i-{digit}").as_str()))
            .collect();
        let keys: HashSet<RunKey> = names
            .iter()
            .flat_map(|name| (1..=10).map(|time| RunKey::new(name, Some(time))))
            .collect();
        assert_eq!(keys.len(), 100);
    }
}
