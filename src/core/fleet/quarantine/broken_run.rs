//! Run of a server whose connection broke under calls.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::CrashSuspect;
use crate::core::fleet::RunKey;

/// Run of a server whose connection broke under calls that it was beginning to
/// answer, as processes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRun {
    /// The run.
    pub run: RunKey,
    /// Time since the first connection broke.
    pub age: Duration,
    /// Shared parts of the calls, and the calls.
    pub suspects: Vec<CrashSuspect>,
}
