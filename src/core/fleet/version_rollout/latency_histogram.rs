//! Histogram of response times.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Buckets in which a time doubles.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Lower bound of the second bucket, in milliseconds.
const FIRST_BOUND_MS: f64 = 1.0;

/// Number of buckets; the last one starts at 100 s.
const MAX_BUCKETS: usize = 68;

/// Times in buckets of a quarter of a doubling, from 1 ms to 100 s.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LatencyHistogram(Vec<u64>);

impl LatencyHistogram {
    /// Counts a time.
    pub fn record(&mut self, elapsed: Duration) {
        let bucket = bucket_of(elapsed.as_secs_f64() * 1_000.0);
        if self.0.len() <= bucket {
            self.0.resize(bucket + 1, 0);
        }
        self.0[bucket] += 1;
    }

    /// Adds the times of another histogram.
    pub fn add(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (count, added) in self.0.iter_mut().zip(&other.0) {
            *count += added;
        }
    }

    /// Returns the times that were counted after `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let earlier = earlier.0.iter().copied().chain(std::iter::repeat(0));
        let counts = self.0.iter().zip(earlier);
        Self(
            counts
                .map(|(count, before)| count.saturating_sub(before))
                .collect(),
        )
    }

    /// Returns the number of times.
    pub fn count(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Returns the upper bound of the bucket with the median, in milliseconds; `None`
    /// without times.
    pub fn median_ms(&self) -> Option<f64> {
        let total = self.count();
        let mut below = 0;
        for (bucket, count) in self.0.iter().enumerate() {
            below += count;
            if *count > 0 && below * 2 >= total {
                return Some(upper_bound_ms(bucket));
            }
        }
        None
    }

    /// Returns the number of times in buckets that start at `limit_ms` or above.
    pub fn count_from(&self, limit_ms: f64) -> u64 {
        let first = bucket_of(limit_ms * 0.999) + 1;
        self.0.iter().skip(first).sum()
    }
}

fn bucket_of(ms: f64) -> usize {
    if ms <= FIRST_BOUND_MS {
        return 0;
    }
    let bucket = (ms / FIRST_BOUND_MS).log2() * BUCKETS_PER_DOUBLING;
    (bucket as usize + 1).min(MAX_BUCKETS - 1)
}

fn upper_bound_ms(bucket: usize) -> f64 {
    FIRST_BOUND_MS * (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
}
