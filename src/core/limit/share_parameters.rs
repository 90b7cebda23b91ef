//! Durations and sizes of the share protocol that all entries of a fleet must
//! agree on.

use std::time::Duration;

/// Two clocks may drift apart by 1/50 of a duration.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// Fixed margin added to the drift.
const CLOCK_MARGIN: Duration = Duration::from_millis(5);

/// Parameters of the share protocol that all entries of a fleet must agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareParameters {
    /// Slots among which the allowance of each account is divided.
    pub slots: u16,
    /// Groups into which accounts are hashed.
    pub groups: u16,
    /// Time for which a slot holder lends its share of a group.
    pub loan_duration: Duration,
    /// Interval between renewals of a loan.
    pub loan_renewal_interval: Duration,
    /// Lifetime of a grant from the coordinator of a group.
    pub grant_duration: Duration,
    /// Lifetime of a sub-grant from a zone coordinator.
    pub sub_grant_duration: Duration,
    /// Largest fleet, in entries, that works without zone coordinators.
    pub max_entries_without_zones: usize,
    /// Time that a request may wait for tokens.
    pub max_wait: Duration,
    /// Requests of one account that may wait at one entry.
    pub max_waiting_requests: usize,
}

impl Default for ShareParameters {
    fn default() -> Self {
        Self {
            slots: 32,
            groups: 64,
            loan_duration: Duration::from_millis(8_000),
            loan_renewal_interval: Duration::from_millis(2_000),
            grant_duration: Duration::from_millis(4_000),
            sub_grant_duration: Duration::from_millis(2_000),
            max_entries_without_zones: 32,
            max_wait: Duration::from_millis(2_000),
            max_waiting_requests: 64,
        }
    }
}

/// Extends the duration of a loan or grant for the side that gave it, so that
/// the receiver's use ends first although their clocks run at different speeds.
pub(super) fn with_clock_margin(span: Duration) -> Duration {
    span + span / CLOCK_DRIFT_DIVISOR + CLOCK_MARGIN
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn with_clock_margin_outlasts_clock_drift() {
        for millis in [1, 200, 2_000, 60_000] {
            let span = Duration::from_millis(millis);
            let longest_use = span.mul_f64(1.0 / 0.995);
            let shortest_hold = with_clock_margin(span).mul_f64(1.0 / 1.005);
            assert!(shortest_hold > longest_use);
        }
    }
}
