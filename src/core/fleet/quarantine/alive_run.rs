//! Run of a server that has answered after a connection to it broke.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::RunKey;

/// Run of a server that has answered after a connection to it broke, so that it has not
/// crashed, as processes tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AliveRun {
    /// The run.
    pub run: RunKey,
    /// Time since it answered.
    pub age: Duration,
}
