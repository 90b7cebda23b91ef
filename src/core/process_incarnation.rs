//! One run of a teaseldrum process; a restart changes it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// One run of a teaseldrum process; a restart changes it.
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
    /// Draws a number that no earlier run of the process had.
    pub fn random() -> Self {
        Self(rand::random::<u64>() >> 1)
    }
}
