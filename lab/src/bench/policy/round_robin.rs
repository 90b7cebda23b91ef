//! Baseline policy: each reachable server in turn.

use teaseldrum::core::MonotonicTime;

use super::server_state::UnreachableServers;

/// Selects each reachable server in turn.
#[derive(Debug)]
pub struct RoundRobin {
    /// Servers that failed an attempt lately.
    pub unreachable: UnreachableServers,
    servers: usize,
    next: usize,
}

impl RoundRobin {
    /// Creates the policy of an entry. Entries start at different servers.
    pub fn new(servers: usize, entry: usize) -> Self {
        Self {
            unreachable: UnreachableServers::new(servers),
            servers,
            next: entry * servers / 4,
        }
    }

    /// Selects the next reachable server that is not in `tried`.
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
