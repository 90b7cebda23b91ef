//! Numbers that all entries of a fleet agree on.

use std::time::Duration;

/// Part of a span by which two clocks may run apart: one in this many.
const DRIFT_DIVISOR: u32 = 50;

/// Margin on top of the drift.
const MARGIN: Duration = Duration::from_millis(5);

/// Numbers that all entries of a fleet agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareParameters {
    /// Slots that the allowance of each account is split into.
    pub slots: u16,
    /// Groups that accounts are split into.
    pub groups: u16,
    /// Time for which a slot lends its part.
    pub loan_duration: Duration,
    /// Time between renewals of a loan.
    pub loan_renewal_interval: Duration,
    /// Life of a grant from the keeper of a group.
    pub grant_duration: Duration,
    /// Life of a part of a grant that a zone keeper passes on.
    pub sub_grant_duration: Duration,
    /// Entries up to which there are no zone keepers.
    pub max_entries_without_zones: usize,
    /// Time that a request may wait for tokens.
    pub max_wait: Duration,
    /// Requests of one account that may wait in one entry.
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

/// Returns how long a promise for a span must be kept by the one who gave it,
/// so that clocks which run apart do no harm.
pub(super) fn hold(span: Duration) -> Duration {
    span + span / DRIFT_DIVISOR + MARGIN
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hold_outlasts_clocks_that_run_apart() {
        for millis in [1, 200, 2_000, 60_000] {
            let span = Duration::from_millis(millis);
            let slow_use = span.mul_f64(1.0 / 0.995);
            let fast_hold = hold(span).mul_f64(1.0 / 1.005);
            assert!(fast_hold > slow_use);
        }
    }
}
