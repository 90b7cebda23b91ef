//! Point in time on the clock of one process, for decisions that must also run
//! in virtual time.

use std::ops::Add;
use std::time::Duration;

/// Microseconds since an origin that only this process knows. Never sent to
/// another process, where it would mean a different time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the time `micros` microseconds after the origin.
    pub fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the origin.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` before this one; the origin if it is earlier.
    pub fn saturating_sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn since_future_is_zero() {
        let later = MonotonicTime::ZERO + Duration::from_millis(5);
        assert_eq!(MonotonicTime::ZERO.since(later), Duration::ZERO);
    }
}
