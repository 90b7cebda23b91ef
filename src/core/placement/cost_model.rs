//! Parameters by which a planner predicts costs.

use std::time::Duration;

/// Parameters by which a planner predicts the time to the first token and weighs
/// recomputation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostModel {
    /// Prompt tokens that an engine computes per second.
    pub prefill_tokens_per_second: f64,
    /// Time that each running request adds to the wait.
    pub wait_per_running_request: Duration,
    /// Round trip to a server in another availability zone.
    pub zone_round_trip: Duration,
    /// Additional weight of the time that an engine spends on recomputation.
    /// That time also delays the requests after this one, and the computed
    /// blocks evict others.
    pub recompute_weight: f64,
    /// Recent requests with a prefix at which `recompute_weight` is halved. The
    /// more such requests there are, the more will use a new copy.
    pub reuse_half_requests: f64,
    /// Fraction of a prompt that its rendezvous winner is expected to have
    /// cached, even if this entry never sent it there.
    pub winner_cached_share: f64,
    /// Fraction of `winner_cached_share` that the runner-up is expected to have
    /// cached.
    pub runner_up_share: f64,
    /// Traffic that one prefix may bring to its home server, as a multiple of
    /// the traffic per server if spread evenly. A prefix with more traffic is
    /// split: longer prefixes determine the home servers of its requests.
    pub max_home_traffic_share: f64,
    /// Time by which load reports lag behind. A request sent less than this
    /// before a report counts as not yet reported.
    pub report_lag: Duration,
    /// Time without use after which a holder is expected to have evicted a
    /// prefix.
    pub cache_retention: Duration,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 15_000.0,
            wait_per_running_request: Duration::from_millis(2),
            zone_round_trip: Duration::from_millis(1),
            recompute_weight: 48.0,
            reuse_half_requests: 3.0,
            winner_cached_share: 0.9,
            runner_up_share: 0.5,
            max_home_traffic_share: 1.0,
            report_lag: Duration::from_millis(300),
            cache_retention: Duration::from_secs(120),
        }
    }
}

impl CostModel {
    /// Returns the weight, at least 1, of the time to compute a prefix that
    /// recently came with `recent_requests` requests.
    pub fn weigh_recompute(&self, recent_requests: f64) -> f64 {
        1.0 + self.recompute_weight / (1.0 + recent_requests / self.reuse_half_requests)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn weigh_recompute_falls_with_requests() {
        let costs = CostModel::default();
        assert!(costs.weigh_recompute(100.0) < costs.weigh_recompute(1.0) / 10.0);
        assert!(costs.weigh_recompute(1e9) >= 1.0);
    }
}
