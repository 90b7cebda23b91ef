//! Measured error of the predicted time to first token.

use std::time::Duration;

use crate::core::MonotonicTime;
use crate::core::fleet::decaying_sum::DecayingSum;

/// Time in which an observation loses most of its weight. A burst's errors must not
/// hold calls back after it.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Observations of weight 1 and no error that are assumed, so that one call after an
/// idle time does not decide.
const PRIOR_WEIGHT: f64 = 4.0;

/// Error of the predicted times to first token of one service: observed less
/// predicted time, as a mean over the last second.
#[derive(Debug, Clone, Copy)]
pub struct PredictionError {
    weight: DecayingSum,
    lateness_s: DecayingSum,
    absolute_s: DecayingSum,
}

impl Default for PredictionError {
    fn default() -> Self {
        Self {
            weight: DecayingSum::new(TIME_CONSTANT),
            lateness_s: DecayingSum::new(TIME_CONSTANT),
            absolute_s: DecayingSum::new(TIME_CONSTANT),
        }
    }
}

impl PredictionError {
    /// Records a call's predicted and observed time to first token.
    pub fn observe(&mut self, predicted: Duration, observed: Duration, now: MonotonicTime) {
        let late_s = observed.saturating_sub(predicted).as_secs_f64();
        self.weight.add(1.0, now);
        self.lateness_s.add(late_s, now);
        self.absolute_s
            .add(predicted.abs_diff(observed).as_secs_f64(), now);
    }

    /// Returns the mean time by which calls began later than predicted; calls that
    /// began earlier count as zero.
    pub fn lateness(&self, now: MonotonicTime) -> Duration {
        self.mean(&self.lateness_s, now)
    }

    /// Returns the mean absolute error.
    pub fn absolute(&self, now: MonotonicTime) -> Duration {
        self.mean(&self.absolute_s, now)
    }

    fn mean(&self, sum_s: &DecayingSum, now: MonotonicTime) -> Duration {
        let mean_s = sum_s.at(now) / (self.weight.at(now) + PRIOR_WEIGHT);
        Duration::from_secs_f64(mean_s)
    }
}
