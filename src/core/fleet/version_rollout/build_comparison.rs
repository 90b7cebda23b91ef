//! Compares how many responses of two builds are bad, in strata of the same time and
//! route.

/// How far the bad responses of the new build may exceed their expected number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeviationLimit {
    /// Probability (Poisson tail) below which as many are no accident.
    max_tail: f64,
    /// Standard deviations from which they are none.
    max_deviations: f64,
}

impl DeviationLimit {
    /// Limit for one route. Some thirty comparisons are made at each look, so a good
    /// build fails one of them in about one of a hundred rollouts.
    pub const BAD_ROUTE: Self = Self {
        max_tail: 3e-5,
        max_deviations: 3.7,
    };
    /// Limit for all routes together, which are fewer comparisons.
    pub const BAD_SERVICE: Self = Self {
        max_tail: 1e-4,
        max_deviations: 3.5,
    };
    /// Limits from which an increase of the share waits.
    pub const SUSPECT_ROUTE: Self = Self {
        max_tail: 1e-3,
        max_deviations: 3.0,
    };
    /// Limits from which the end of a rollout waits for more responses; it cannot be
    /// taken back.
    pub const DOUBTFUL_ROUTE: Self = Self {
        max_tail: 3e-3,
        max_deviations: 2.7,
    };
    /// The same for all routes together.
    pub const DOUBTFUL_SERVICE: Self = Self {
        max_tail: 2e-2,
        max_deviations: 2.3,
    };
    /// The same as for a route, for all routes together.
    pub const SUSPECT_SERVICE: Self = Self {
        max_tail: 3e-3,
        max_deviations: 2.7,
    };
}

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

    /// Returns whether the new build has more bad responses than `limit` allows.
    pub fn exceeds(&self, limit: DeviationLimit) -> bool {
        if self.observed < MIN_BAD || self.observed <= self.expected {
            return false;
        }
        let deviations = (self.observed - self.expected - 0.5) / self.variance.max(1e-9).sqrt();
        let is_normal =
            self.observed >= MIN_NORMAL_BAD && self.variance < MAX_NORMAL_QUOTIENT * self.expected;
        poisson_tail(self.expected, self.observed) < limit.max_tail
            || (is_normal && deviations > limit.max_deviations)
    }

    /// Returns the bad responses of the new build and their expected number.
    pub fn counts(&self) -> (f64, f64) {
        (self.observed, self.expected)
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
