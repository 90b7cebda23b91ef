//! Identifier of one run of a teaseldrum process.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Identifier of one run of a teaseldrum process; each restart makes a new one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ProcessIncarnation(pub u64);

impl fmt::Display for ProcessIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl ProcessIncarnation {
    /// Returns 63 random bits, so that no earlier run of the process had the
    /// same identifier.
    pub fn random() -> Self {
        Self(rand::random::<u64>() >> 1)
    }
}
