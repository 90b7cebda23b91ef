//! Baseline: each server in turn, leaving out those that do not answer.

use teaseldrum::core::MonotonicTime;

use super::server_state::UnreachableServers;

/// Each server in turn, leaving out those that do not answer.
#[derive(Debug)]
pub struct RoundRobin {
    /// Servers that did not answer lately.
    pub unreachable: UnreachableServers,
    servers: usize,
    next: usize,
}

impl RoundRobin {
    /// Creates the policy; entries start at different servers.
    pub fn new(servers: usize, entry: usize) -> Self {
        Self {
            unreachable: UnreachableServers::new(servers),
            servers,
            next: entry * servers / 4,
        }
    }

    /// Chooses the next server.
    pub fn select(&mut self, tried: &[usize], now: MonotonicTime) -> Option<usize> {
        for _ in 0..self.servers {
            let server = self.next % self.servers;
            self.next += 1;
            if !tried.contains(&server) && !self.unreachable.contains(server, now) {
                return Some(server);
            }
        }
        None
    }
}
