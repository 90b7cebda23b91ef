//! What a baseline keeps of each server.

use std::time::Duration;

use teaseldrum::core::MonotonicTime;

use super::server_selector::LoadUpdate;

const UNREACHABLE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Servers that did not answer lately.
#[derive(Debug)]
pub struct UnreachableServers {
    until: Vec<MonotonicTime>,
}

/// Requests at each server: those reported, and the own ones since.
#[derive(Debug)]
pub struct LoadCounts {
    /// Servers that did not answer lately.
    pub unreachable: UnreachableServers,
    reported: Vec<u32>,
    sent_since_report: Vec<u32>,
    own_active: Vec<u32>,
}

impl UnreachableServers {
    /// Creates the state of servers that all answer.
    pub fn new(servers: usize) -> Self {
        Self {
            until: vec![MonotonicTime::ZERO; servers],
        }
    }

    /// Leaves a server out for a while.
    pub fn mark(&mut self, server: usize, now: MonotonicTime) {
        self.until[server] = now + UNREACHABLE_RETRY_INTERVAL;
    }

    /// Takes a server in again.
    pub fn clear(&mut self, server: usize) {
        self.until[server] = MonotonicTime::ZERO;
    }

    /// Tells whether a server is left out.
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

    /// Returns the requests thought to be at a server.
    pub fn count(&self, server: usize) -> u32 {
        (self.reported[server] + self.sent_since_report[server]).max(self.own_active[server])
    }

    /// Counts an attempt.
    pub fn record_start(&mut self, server: usize) {
        self.own_active[server] += 1;
        self.sent_since_report[server] += 1;
    }

    /// Ends the count of an attempt.
    pub fn record_end(&mut self, server: usize) {
        self.own_active[server] = self.own_active[server].saturating_sub(1);
        self.reported[server] = self.reported[server].saturating_sub(1);
    }

    /// Takes note of a server's load.
    pub fn observe_load(&mut self, update: &LoadUpdate) {
        self.unreachable.clear(update.server);
        self.reported[update.server] = update.load.running + update.load.queued;
        self.sent_since_report[update.server] = 0;
    }
}
