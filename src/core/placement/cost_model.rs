//! Rates that turn work into time.

use std::time::Duration;

/// Rates that turn work into time, and the weight of waste.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostModel {
    /// Prompt tokens that an engine computes in a second.
    pub prefill_tokens_per_second: f64,
    /// Time that each running request adds to the wait.
    pub wait_per_running: Duration,
    /// Round trip to a server in another availability zone.
    pub zone_round_trip: Duration,
    /// Weight of the time an engine spends on recomputation beyond its own
    /// delay: that time also delays the requests after this one, and what is
    /// computed evicts something else.
    pub recompute_weight: f64,
    /// Recent requests with a prefix at which that weight is halved: the more
    /// of them, the more will use a new copy.
    pub reuse_requests: f64,
    /// Share of a prefix that the rendezvous winner is expected to hold
    /// though this entry never sent it there.
    pub rendezvous_share: f64,
    /// Part of that share which the second in the order is expected to hold.
    pub second_share: f64,
    /// Traffic that one prefix may bring to its home server, in shares of an
    /// even spread; a prefix with more is split at a deeper level.
    pub home_share: f64,
    /// Time by which load reports lag behind; requests sent within it before
    /// a report count as not reported yet.
    pub report_lag: Duration,
    /// Time after which a holder is expected to have evicted a prefix.
    pub retention: Duration,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 15_000.0,
            wait_per_running: Duration::from_millis(2),
            zone_round_trip: Duration::from_millis(1),
            recompute_weight: 48.0,
            reuse_requests: 3.0,
            rendezvous_share: 0.9,
            second_share: 0.5,
            home_share: 1.0,
            report_lag: Duration::from_millis(300),
            retention: Duration::from_secs(120),
        }
    }
}

impl CostModel {
    /// Returns the weight of the time to compute a prefix that recently came
    /// with so many requests.
    pub fn weigh_recompute(&self, requests: f64) -> f64 {
        1.0 + self.recompute_weight / (1.0 + requests / self.reuse_requests)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn weigh_recompute_falls_with_use() {
        let rates = CostModel::default();
        assert!(rates.weigh_recompute(100.0) < rates.weigh_recompute(1.0) / 10.0);
        assert!(rates.weigh_recompute(1e9) >= 1.0);
    }
}
