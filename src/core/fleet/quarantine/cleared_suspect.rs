//! Suspect of which a call was answered to the end.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Suspect;

/// Suspect of which a call was answered to the end after a server had crashed, and
/// which therefore does not crash servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// Time since the answer ended.
    pub age: Duration,
}
