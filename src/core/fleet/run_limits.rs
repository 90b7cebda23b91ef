//! What runs of servers have said about calls to them.

use std::collections::HashMap;
use std::time::Duration;

use super::RunKey;
use crate::core::MonotonicTime;

/// Time for which a leaving run is remembered. Its record may be removed and
/// written again meanwhile.
const LEAVING_MEMORY: Duration = Duration::from_secs(3_600);

/// Which runs have said that they leave. It outlives the records of the servers.
#[derive(Debug, Default)]
pub struct RunLimits {
    leaving: HashMap<RunKey, MonotonicTime>,
}

impl RunLimits {
    /// Records that a run leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, run: RunKey, now: MonotonicTime) -> bool {
        self.leaving.insert(run, now).is_none()
    }

    /// Returns whether a run has said that it leaves.
    pub fn is_leaving(&self, run: RunKey) -> bool {
        self.leaving.contains_key(&run)
    }

    /// Drops what is no longer needed.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.leaving
            .retain(|_, recorded_at| now.since(*recorded_at) < LEAVING_MEMORY);
    }
}
