//! What runs of servers have said about calls to them.

use std::collections::HashMap;
use std::time::Duration;

use crate::core::MonotonicTime;
use crate::core::fleet::RunKey;

/// Time for which a leaving run is remembered. Its record may be removed and
/// written again meanwhile.
const LEAVING_MEMORY: Duration = Duration::from_secs(3_600);

/// Longest pause that a server may ask for.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Which runs have said that they leave, and which want no calls for a while. It
/// outlives the records of the servers.
#[derive(Debug, Default)]
pub struct RunLimits {
    leaving: HashMap<RunKey, MonotonicTime>,
    paused_until: HashMap<RunKey, MonotonicTime>,
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

    /// Records that a run wants no calls for `pause`, of which at most
    /// [`MAX_PAUSE`] counts. Returns the end of the pause: a shorter one does not
    /// end an earlier one sooner.
    pub fn record_pause(
        &mut self,
        run: RunKey,
        pause: Duration,
        now: MonotonicTime,
    ) -> MonotonicTime {
        let until = now + pause.min(MAX_PAUSE);
        let paused_until = self.paused_until.entry(run).or_insert(until);
        *paused_until = until.max(*paused_until);
        *paused_until
    }

    /// Returns until when a run wants no calls, if it has asked for a pause.
    pub fn paused_until(&self, run: RunKey) -> Option<MonotonicTime> {
        self.paused_until.get(&run).copied()
    }

    /// Drops what is no longer needed.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.leaving
            .retain(|_, recorded_at| now.since(*recorded_at) < LEAVING_MEMORY);
        self.paused_until.retain(|_, until| *until > now);
    }
}
