//! Servers of one pool and the recent traffic to them.

use super::ServerKey;
use super::prefix_table::decay;
use crate::core::MonotonicTime;

/// Recent requests assumed before any was counted. Without them, the first
/// requests would count as heavy traffic.
const TRAFFIC_PRIOR_REQUESTS: f32 = 20.0;

/// Servers of one pool and the recent traffic to them.
#[derive(Debug, Default)]
pub struct ServerPool {
    /// Servers of the pool.
    pub keys: Vec<ServerKey>,
    /// Recent requests, decayed by age.
    traffic: f32,
    traffic_updated_at: MonotonicTime,
}

impl ServerPool {
    /// Counts a request to the pool.
    pub fn count_traffic(&mut self, now: MonotonicTime) {
        let elapsed_ms = now.since(self.traffic_updated_at).as_millis();
        self.traffic = decay(self.traffic, u32::try_from(elapsed_ms).unwrap_or(u32::MAX)) + 1.0;
        self.traffic_updated_at = now;
    }

    /// Returns the recent requests per server, if spread evenly.
    pub fn traffic_per_server(&self) -> f64 {
        f64::from(self.traffic + TRAFFIC_PRIOR_REQUESTS) / self.keys.len().max(1) as f64
    }
}
