//! How fast engines read prompts.

use std::time::Duration;

/// Change of the pace with each observation: a new model's engines are known
/// to a few hundredths after some thirty calls.
const ADJUSTMENT_STEP: f64 = 0.01;

/// Bounds of the pace: engines that differ by more are not those of the
/// constants in [`super::call_costs`], and something else is wrong.
const MIN_FACTOR: f64 = 0.3;
const MAX_FACTOR: f64 = 4.0;

/// Time from a call's send to its first token that is no reading: the way
/// there and back, and the step that makes the token.
const TTFT_OVERHEAD: Duration = Duration::from_millis(8);

/// Least predicted time to read of a call that tells the pace; of shorter
/// ones the overhead is too large a part.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(30);

/// Largest part of the predicted time that may be wait or transfer.
const MAX_OTHER_SHARE: f64 = 0.2;

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
    pub fn value(self) -> f64 {
        self.0
    }

    /// Takes note of a first token that came after `passed`, of which
    /// `reading` was predicted for reading alone and `start` altogether.
    pub fn observe(&mut self, ttft: Duration, prefill_time: Duration, predicted_ttft: Duration) {
        let other = predicted_ttft.saturating_sub(prefill_time);
        if prefill_time < MIN_PREFILL_TIME || other > prefill_time.mul_f64(MAX_OTHER_SHARE) {
            return;
        }
        let measured = ttft.saturating_sub(other + TTFT_OVERHEAD);
        let change = if measured > prefill_time {
            ADJUSTMENT_STEP
        } else {
            -ADJUSTMENT_STEP
        };
        self.0 = (self.0 + change).clamp(MIN_FACTOR, MAX_FACTOR);
    }
}
