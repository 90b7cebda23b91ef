//! One run of a model engine; a restart, and so an empty cache, changes it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// One run of a model engine; a restart, and so an empty cache, changes it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EngineIncarnation(pub u64);

impl fmt::Display for EngineIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
