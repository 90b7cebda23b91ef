//! Decayed mean of the logarithms of ratios of times.

/// Maximum weight of earlier observations. Larger values average out more noise,
/// smaller ones follow changes faster; 100 calls take a server some seconds.
const MAX_WEIGHT: f64 = 100.0;

/// Largest logarithm of an observation that is not clipped: a factor of 20.
const MAX_LOG: f64 = 3.0;

/// Decayed mean and variance of the logarithms of ratios of times, so that a ratio of
/// 2 and one of 1/2 cancel out.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct LogMean {
    pub mean: f64,
    pub variance: f64,
    pub weight: f64,
}

impl LogMean {
    /// Adds an observation.
    pub fn observe(&mut self, log: f64) {
        self.merge(Self {
            mean: log.clamp(-MAX_LOG, MAX_LOG),
            variance: 0.0,
            weight: 1.0,
        });
    }

    /// Adds an observation of a time in milliseconds, which is not clipped.
    pub fn observe_ms(&mut self, ms: f64) {
        self.merge(Self {
            mean: ms.max(0.1).ln(),
            variance: 0.0,
            weight: 1.0,
        });
    }

    /// Adds the observations that another mean holds.
    pub fn merge(&mut self, other: Self) {
        let total = self.weight + other.weight;
        if other.weight <= 0.0 {
            return;
        }
        let share = other.weight / total;
        let change = other.mean - self.mean;
        self.mean += share * change;
        self.variance +=
            share * (other.variance - self.variance) + share * (1.0 - share) * change * change;
        self.weight = total.min(MAX_WEIGHT);
    }

    /// Returns the standard error of the mean; infinite without observations.
    pub fn error(&self) -> f64 {
        if self.weight < 1.0 {
            return f64::INFINITY;
        }
        (self.variance / self.weight).sqrt()
    }

    /// Returns the mean of the values themselves, for log-normal ones.
    pub fn mean_value(&self) -> f64 {
        (self.mean + self.variance / 2.0).exp()
    }
}
