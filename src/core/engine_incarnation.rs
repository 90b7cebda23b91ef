//! Identifier of one run of a model engine.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Identifier of one run of a model engine. A new one after a restart means
/// that the engine's cache was emptied.
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
