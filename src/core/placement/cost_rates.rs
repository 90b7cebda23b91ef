//! Rates that turn work into time.

use std::time::Duration;

/// Rates that turn work into time, and the weight of waste.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostRates {
    /// Prompt tokens that an engine computes in a second.
    pub prefill_tokens_per_second: f64,
    /// Time that each running request adds to the wait.
    pub wait_per_running: Duration,
    /// Round trip to a server in another availability zone.
    pub zone_round_trip: Duration,
    /// Weight of the time an engine spends on recomputation: above one, as
    /// that time also delays the requests after this one.
    pub recompute_weight: f64,
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

impl Default for CostRates {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 15_000.0,
            wait_per_running: Duration::from_millis(2),
            zone_round_trip: Duration::from_millis(1),
            recompute_weight: 8.0,
            rendezvous_share: 0.9,
            second_share: 0.5,
            home_share: 1.0,
            report_lag: Duration::from_millis(300),
            retention: Duration::from_secs(120),
        }
    }
}
