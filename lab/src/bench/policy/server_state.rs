//! What a baseline keeps of each server.

use std::time::Duration;

use teaseldrum::core::MonotonicTime;

use super::chooser::LoadNews;

const RETRY_DOWN_AFTER: Duration = Duration::from_secs(1);

/// Servers that did not answer lately.
#[derive(Debug)]
pub struct DownServers {
    until: Vec<MonotonicTime>,
}

/// Requests at each server: those reported, and the own ones since.
#[derive(Debug)]
pub struct LoadCounts {
    /// Servers that did not answer lately.
    pub down: DownServers,
    reported: Vec<u32>,
    since_report: Vec<u32>,
    own: Vec<u32>,
}

impl DownServers {
    /// Creates the state of servers that all answer.
    pub fn new(servers: usize) -> Self {
        Self {
            until: vec![MonotonicTime::ZERO; servers],
        }
    }

    /// Leaves a server out for a while.
    pub fn mark(&mut self, server: usize, now: MonotonicTime) {
        self.until[server] = now + RETRY_DOWN_AFTER;
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
            down: DownServers::new(servers),
            reported: vec![0; servers],
            since_report: vec![0; servers],
            own: vec![0; servers],
        }
    }

    /// Returns the requests thought to be at a server.
    pub fn count(&self, server: usize) -> u32 {
        (self.reported[server] + self.since_report[server]).max(self.own[server])
    }

    /// Counts an attempt.
    pub fn begin(&mut self, server: usize) {
        self.own[server] += 1;
        self.since_report[server] += 1;
    }

    /// Ends the count of an attempt.
    pub fn end(&mut self, server: usize) {
        self.own[server] = self.own[server].saturating_sub(1);
        self.reported[server] = self.reported[server].saturating_sub(1);
    }

    /// Takes note of a server's load.
    pub fn learn(&mut self, news: &LoadNews) {
        self.down.clear(news.server);
        self.reported[news.server] = news.load.running + news.load.queued;
        self.since_report[news.server] = 0;
    }
}
