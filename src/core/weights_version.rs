//! Version number of model weights.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Version of the weights that a backend server serves.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WeightsVersion(pub u64);

impl fmt::Display for WeightsVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
