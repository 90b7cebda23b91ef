//! Learns how long a model's engines take to prefill, relative to the cost
//! model.

use std::time::Duration;

/// Change of the factor per observation. After about 30 calls, the factor of a
/// new model is accurate to a few hundredths.
const ADJUSTMENT_STEP: f64 = 0.01;

/// Range of the factor. A larger deviation means that the constants in
/// [`super::call_costs`] do not apply to the engines, or another fault.
const MIN_FACTOR: f64 = 0.3;
const MAX_FACTOR: f64 = 4.0;

/// Time between sending a call and its first token that is not prefill: the
/// network round trip and the step that generates the token.
const TTFT_OVERHEAD: Duration = Duration::from_millis(8);

/// Minimum predicted prefill time of a call that is measured; for shorter ones,
/// the overhead dominates.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(30);

/// Maximum of queueing and transfer time, as a share of the prefill time, in a
/// call that is measured.
const MAX_OTHER_SHARE: f64 = 0.2;

/// Prefill time as a multiple of the predicted time. It is the median over
/// calls to idle engines, by stochastic approximation (Robbins and Monro,
/// 1951), so that a few slow engines or wrong predictions have no effect.
#[derive(Debug, Clone, Copy)]
pub(super) struct PrefillTimeFactor(f64);

impl Default for PrefillTimeFactor {
    fn default() -> Self {
        Self(1.0)
    }
}

impl PrefillTimeFactor {
    /// Returns the factor; 1 before any observation.
    pub fn value(self) -> f64 {
        self.0
    }

    /// Adjusts the factor by a call's time to first token `ttft`, of which
    /// `prefill_time` was predicted for the prefill and `predicted_ttft` in
    /// total.
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
