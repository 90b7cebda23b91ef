//! What a process tells others of crashed servers and the parts behind them.

use serde::Deserialize;
use serde::Serialize;

use super::BrokenRun;
use super::CompletedPart;
use super::QuarantinedPart;
use super::RunKey;

/// What a process tells others of crashed servers and the parts behind them. All
/// of it may be repeated, lost and reordered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    /// Runs under whose calls connections broke.
    pub broken: Vec<BrokenRun>,
    /// Runs that have answered after that, so that they have not crashed.
    pub alive: Vec<RunKey>,
    /// Parts of broken calls that another call with them has cleared.
    pub completed: Vec<CompletedPart>,
    /// Parts that no server gets.
    pub quarantined: Vec<QuarantinedPart>,
}

impl QuarantineNews {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.broken.is_empty()
            && self.alive.is_empty()
            && self.completed.is_empty()
            && self.quarantined.is_empty()
    }
}
