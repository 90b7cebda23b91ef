//! Servers of one pool and the traffic to them.

use super::ServerKey;
use super::prefix_table::decay;
use crate::core::MonotonicTime;

/// Requests that an entry is taken to have seen before its first, so that the
/// first ones do not look like heavy traffic.
const PRIOR_TRAFFIC: f32 = 20.0;

/// Servers of one pool and the traffic to them.
#[derive(Debug, Default)]
pub struct ServerPool {
    /// Servers of the pool.
    pub keys: Vec<ServerKey>,
    traffic: f32,
    counted_at: MonotonicTime,
}

impl ServerPool {
    /// Counts a request.
    pub fn count_traffic(&mut self, now: MonotonicTime) {
        let passed = now.since(self.counted_at).as_millis();
        self.traffic = decay(self.traffic, u32::try_from(passed).unwrap_or(u32::MAX)) + 1.0;
        self.counted_at = now;
    }

    /// Returns the recent requests for each server, were they spread evenly.
    pub fn traffic_per_server(&self) -> f64 {
        f64::from(self.traffic + PRIOR_TRAFFIC) / self.keys.len().max(1) as f64
    }
}
