//! Number of an accepted revision of the rules.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Number of an accepted revision of the rules. Revisions only increase; zero
/// means that none is known.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
