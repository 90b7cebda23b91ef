//! Latest response times of a route, for percentiles.

use std::time::Duration;

/// Number of response times kept: enough for the 95th percentile.
const KEPT_TIMES: usize = 128;

/// Number of response times from which a percentile is given.
const MIN_TIMES: usize = 32;

/// Observations after which the percentiles are computed again.
const RECOMPUTE_STEP: u32 = 8;

/// High percentile that is given.
const HIGH_PERCENTILE: f64 = 0.95;

/// Latest response times, their median and their 95th percentile.
#[derive(Debug, Clone, Default)]
pub struct ResponseTimes {
    micros: Vec<u32>,
    next: usize,
    since_computed: u32,
    median: Option<Duration>,
    high: Option<Duration>,
}

impl ResponseTimes {
    /// Adds a response time.
    pub fn observe(&mut self, time: Duration) {
        let micros = u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        if self.micros.len() < KEPT_TIMES {
            self.micros.push(micros);
        } else if let Some(oldest) = self.micros.get_mut(self.next) {
            *oldest = micros;
        }
        self.next = (self.next + 1) % KEPT_TIMES;
        self.since_computed += 1;
        if self.micros.len() >= MIN_TIMES
            && (self.high.is_none() || self.since_computed >= RECOMPUTE_STEP)
        {
            self.since_computed = 0;
            let mut sorted = self.micros.clone();
            sorted.sort_unstable();
            let find = |percentile: f64| {
                let index = (sorted.len() as f64 * percentile) as usize;
                let found = sorted.get(index).copied();
                found.map(|micros| Duration::from_micros(micros.into()))
            };
            self.median = find(0.5);
            self.high = find(HIGH_PERCENTILE);
        }
    }

    /// Returns the median; `None` before enough observations.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// Returns the 95th percentile; `None` before enough observations.
    pub fn high(&self) -> Option<Duration> {
        self.high
    }
}
