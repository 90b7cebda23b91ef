//! What a process tells others of crashed servers and what is behind them.

use serde::Deserialize;
use serde::Serialize;

use super::AliveRun;
use super::BrokenRun;
use super::ClearedSuspect;
use super::QuarantinedSuspect;

/// What a process tells others of crashed servers and what is behind them. All
/// of it may be repeated, lost and reordered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    /// Runs under whose calls connections broke.
    pub broken: Vec<BrokenRun>,
    /// Runs that have answered after that, so that they have not crashed.
    pub alive: Vec<AliveRun>,
    /// Suspects that a whole answer has cleared.
    pub cleared: Vec<ClearedSuspect>,
    /// Parts and calls that no server gets.
    pub quarantined: Vec<QuarantinedSuspect>,
}

impl QuarantineNews {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.broken.is_empty()
            && self.alive.is_empty()
            && self.cleared.is_empty()
            && self.quarantined.is_empty()
    }
}
