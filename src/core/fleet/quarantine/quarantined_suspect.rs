//! Prompt part or call that no server gets.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Suspect;

/// Prompt part or call that crashes servers and that no server gets for now, as
/// processes tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedSuspect {
    /// The part or the call.
    pub suspect: Suspect,
    /// Time since it was found.
    pub age: Duration,
    /// Number of its quarantines, with this one.
    pub occurrences: u32,
}
