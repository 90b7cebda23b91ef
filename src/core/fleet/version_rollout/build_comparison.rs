//! Compares how many responses of two builds are bad, in strata of the same time and
//! route.

/// Probability below which as many bad responses of the new build are no accident. Some
/// thirty comparisons are made at each look, so a good build fails one of them in about
/// one of a hundred rollouts.
const MAX_TAIL: f64 = 3e-5;

/// Standard deviations above the expected number from which they are none.
const MAX_DEVIATIONS: f64 = 3.7;

/// Like these two, for bad responses that only delay an increase of the share.
const SUSPECT_TAIL: f64 = 1e-3;
const SUSPECT_DEVIATIONS: f64 = 3.0;

/// Bad responses below which nothing is decided.
const MIN_BAD: f64 = 3.0;

/// Bad responses from which the normal approximation is used.
const MIN_NORMAL_BAD: f64 = 6.0;

/// Largest quotient of variance and mean at which the normal approximation is used; the
/// Poisson tail is close above it.
const MAX_NORMAL_QUOTIENT: f64 = 0.7;

/// Bad responses of the new build, and their expected number if both builds are alike:
/// the bad responses of each stratum then fall on the builds by chance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BuildComparison {
    observed: f64,
    expected: f64,
    variance: f64,
}

impl BuildComparison {
    /// Adds a stratum, given as bad responses and responses of each build. One without
    /// responses of the old build says nothing.
    pub fn add_stratum(&mut self, new: (u64, u64), old: (u64, u64)) {
        let (new_bad, new_total) = (new.0 as f64, new.1 as f64);
        let (old_bad, old_total) = (old.0 as f64, old.1 as f64);
        if new_total == 0.0 || old_total == 0.0 {
            return;
        }
        let total = new_total + old_total;
        let bad = new_bad + old_bad;
        self.observed += new_bad;
        self.expected += new_total * bad / total;
        self.variance +=
            bad * (total - bad) * new_total * old_total / (total * total * (total - 1.0).max(1.0));
    }

    /// Adds the strata of another comparison.
    pub fn add(&mut self, other: &Self) {
        self.observed += other.observed;
        self.expected += other.expected;
        self.variance += other.variance;
    }

    /// Returns whether the new build has too many bad responses.
    pub fn is_bad(&self) -> bool {
        self.exceeds(MAX_TAIL, MAX_DEVIATIONS)
    }

    /// Returns whether it may have too many.
    pub fn is_suspect(&self) -> bool {
        self.exceeds(SUSPECT_TAIL, SUSPECT_DEVIATIONS)
    }

    /// Returns the bad responses of the new build and their expected number.
    pub fn counts(&self) -> (f64, f64) {
        (self.observed, self.expected)
    }

    fn exceeds(&self, max_tail: f64, max_deviations: f64) -> bool {
        if self.observed < MIN_BAD || self.observed <= self.expected {
            return false;
        }
        let deviations = (self.observed - self.expected - 0.5) / self.variance.max(1e-9).sqrt();
        let is_normal =
            self.observed >= MIN_NORMAL_BAD && self.variance < MAX_NORMAL_QUOTIENT * self.expected;
        poisson_tail(self.expected, self.observed) < max_tail
            || (is_normal && deviations > max_deviations)
    }
}

/// Returns the probability of `count` or more events where `mean` are expected. Above a
/// mean of some hundreds, the normal approximation is exact enough.
fn poisson_tail(mean: f64, count: f64) -> f64 {
    if mean > 300.0 {
        let deviations = (count - 0.5 - mean) / mean.sqrt();
        return (-0.5 * deviations * deviations).exp();
    }
    let mut term = (-mean).exp();
    let mut below = 0.0;
    let mut events = 0.0;
    while events < count {
        below += term;
        events += 1.0;
        term *= mean / events;
    }
    // The terms above `count` are summed directly: the difference to 1 loses them.
    let mut tail = 0.0;
    while term > 1e-12 && events < count + 1_000.0 {
        tail += term;
        events += 1.0;
        term *= mean / events;
    }
    if tail == 0.0 {
        (1.0 - below).max(0.0)
    } else {
        tail
    }
}
