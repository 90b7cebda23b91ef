//! How fast engines read prompts.

use std::time::Duration;

/// Change of the pace with each observation: a new model's engines are known
/// to a few hundredths after some thirty calls.
const STEP: f64 = 0.01;

/// Bounds of the pace: engines that differ by more are not those of the
/// constants in [`super::call_costs`], and something else is wrong.
const LEAST: f64 = 0.3;
const MOST: f64 = 4.0;

/// Time from a call's send to its first token that is no reading: the way
/// there and back, and the step that makes the token.
const OVERHEAD: Duration = Duration::from_millis(8);

/// Least predicted time to read of a call that tells the pace; of shorter
/// ones the overhead is too large a part.
const LEAST_READING: Duration = Duration::from_millis(30);

/// Largest part of the predicted time that may be wait or transfer.
const MOST_OTHER: f64 = 0.2;

/// Time that engines take to read a prompt, as a multiple of what the
/// constants predict: the median over calls that found an idle engine, by
/// stochastic approximation (Robbins and Monro, 1951), so that a few slow
/// engines or wrong predictions do not count.
#[derive(Debug, Clone, Copy)]
pub(super) struct PrefillTimeFactor(f64);

impl Default for PrefillTimeFactor {
    fn default() -> Self {
        Self(1.0)
    }
}

impl PrefillTimeFactor {
    /// Returns the multiple.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Takes note of a first token that came after `passed`, of which
    /// `reading` was predicted for reading alone and `start` altogether.
    pub fn observe(&mut self, passed: Duration, reading: Duration, start: Duration) {
        let other = start.saturating_sub(reading);
        if reading < LEAST_READING || other > reading.mul_f64(MOST_OTHER) {
            return;
        }
        let measured = passed.saturating_sub(other + OVERHEAD);
        let change = if measured > reading { STEP } else { -STEP };
        self.0 = (self.0 + change).clamp(LEAST, MOST);
    }
}
