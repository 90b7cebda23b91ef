//! State that the baseline policies keep of each server.

use std::time::Duration;

use teaseldrum::core::MonotonicTime;

use super::server_selector::LoadUpdate;

/// Time for which a server is avoided after it failed an attempt.
const UNREACHABLE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Servers that are avoided because they failed an attempt lately.
#[derive(Debug)]
pub struct UnreachableServers {
    /// End of the time in which each server is avoided.
    until: Vec<MonotonicTime>,
}

/// Requests at each server, from its load reports and the attempts of this entry.
#[derive(Debug)]
pub struct LoadCounts {
    /// Servers that failed an attempt lately.
    pub unreachable: UnreachableServers,
    /// Requests in the last report, less the attempts that ended since.
    reported: Vec<u32>,
    /// Attempts sent since the last report.
    sent_since_report: Vec<u32>,
    /// Attempts of this entry that have not ended.
    own_active: Vec<u32>,
}

impl UnreachableServers {
    /// Creates the state of reachable servers.
    pub fn new(servers: usize) -> Self {
        Self {
            until: vec![MonotonicTime::ZERO; servers],
        }
    }

    /// Avoids a server for [`UNREACHABLE_RETRY_INTERVAL`].
    pub fn mark(&mut self, server: usize, now: MonotonicTime) {
        self.until[server] = now + UNREACHABLE_RETRY_INTERVAL;
    }

    /// Stops avoiding a server.
    pub fn clear(&mut self, server: usize) {
        self.until[server] = MonotonicTime::ZERO;
    }

    /// Tells whether a server is avoided at a time.
    pub fn contains(&self, server: usize, now: MonotonicTime) -> bool {
        now < self.until[server]
    }
}

impl LoadCounts {
    /// Creates the counts of idle servers.
    pub fn new(servers: usize) -> Self {
        Self {
            unreachable: UnreachableServers::new(servers),
            reported: vec![0; servers],
            sent_since_report: vec![0; servers],
            own_active: vec![0; servers],
        }
    }

    /// Returns the estimated number of requests at a server.
    pub fn count(&self, server: usize) -> u32 {
        (self.reported[server] + self.sent_since_report[server]).max(self.own_active[server])
    }

    /// Counts an attempt sent to a server.
    pub fn record_start(&mut self, server: usize) {
        self.own_active[server] += 1;
        self.sent_since_report[server] += 1;
    }

    /// Stops counting an attempt that ended.
    pub fn record_end(&mut self, server: usize) {
        self.own_active[server] = self.own_active[server].saturating_sub(1);
        self.reported[server] = self.reported[server].saturating_sub(1);
    }

    /// Records the reported load of a server, which is reachable again.
    pub fn observe_load(&mut self, update: &LoadUpdate) {
        self.unreachable.clear(update.server);
        self.reported[update.server] = update.load.running + update.load.queued;
        self.sent_since_report[update.server] = 0;
    }
}
