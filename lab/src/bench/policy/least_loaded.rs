//! Baseline policy: the server with the fewest requests.

use teaseldrum::core::MonotonicTime;

use super::server_state::LoadCounts;

/// Selects the server with the fewest requests, and among equals a different one
/// each time.
#[derive(Debug)]
pub struct LeastLoaded {
    /// Load of each server and whether it is reachable.
    pub loads: LoadCounts,
    servers: usize,
    next: usize,
}

impl LeastLoaded {
    /// Creates the policy for idle servers.
    pub fn new(servers: usize) -> Self {
        Self {
            loads: LoadCounts::new(servers),
            servers,
            next: 0,
        }
    }

    /// Selects the reachable server with the fewest requests that is not in
    /// `tried`.
    pub fn select(&mut self, tried: &[usize], now: MonotonicTime) -> Option<usize> {
        self.next += 1;
        let turns_until = |server: usize| (server + self.next) % self.servers;
        let server = (0..self.servers)
            .filter(|server| !tried.contains(server))
            .filter(|&server| !self.loads.unreachable.contains(server, now))
            .min_by_key(|&server| (self.loads.count(server), turns_until(server)))?;
        self.loads.record_start(server);
        Some(server)
    }
}
