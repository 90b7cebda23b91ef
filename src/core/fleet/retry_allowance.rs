//! A fleet-wide bound on repeated sends, kept without talking.

use std::collections::HashMap;

use super::token_bucket::TokenBucket;
use crate::core::MonotonicTime;

/// Part of the operator's ratio that is used; the rest covers requests that
/// arrive at one entry and are counted at another.
const USED_RATIO_SHARE: f64 = 0.75;

/// Part of the operator's extra sends that all entries use together.
const USED_EXTRA_SHARE: f64 = 0.7;

/// Entries that are assumed while fewer are known: a process that has just
/// started knows no peer.
const LEAST_ENTRIES: usize = 4;

/// A bound on repeated sends to each service: each request pays a part of a
/// repeat in, each repeat takes a whole one out, and the fixed extra is split
/// evenly over the entries. No span of time sees more than
/// `ratio * requests + extra` repeats over all entries.
#[derive(Debug)]
pub struct RetryAllowance {
    ratio: f64,
    extra: f64,
    window_s: f64,
    entries: usize,
    services: HashMap<String, TokenBucket>,
}

impl RetryAllowance {
    /// Creates the allowance of one entry from the operator's ratio of repeats
    /// to requests and the extra repeats in each window of `window_s` seconds.
    pub fn new(ratio: f64, extra: f64, window_s: f64) -> Self {
        Self {
            ratio,
            extra,
            window_s,
            entries: LEAST_ENTRIES,
            services: HashMap::new(),
        }
    }

    /// Takes over how many entries share the extra.
    pub fn set_entries(&mut self, entries: usize, now: MonotonicTime) {
        let entries = entries.max(LEAST_ENTRIES);
        if entries == self.entries {
            return;
        }
        self.entries = entries;
        let (rate, burst) = self.terms();
        for bucket in self.services.values_mut() {
            bucket.set_terms(rate, burst, now);
        }
    }

    /// Counts a request for a service.
    pub fn add_request(&mut self, service: &str, now: MonotonicTime) {
        let gain = self.ratio * USED_RATIO_SHARE;
        self.bucket(service, now).take(-gain, now);
    }

    /// Takes one repeat out; false if there is none.
    pub fn take_repeat(&mut self, service: &str, now: MonotonicTime) -> bool {
        let bucket = self.bucket(service, now);
        if bucket.level(now) < 1.0 {
            return false;
        }
        bucket.take(1.0, now);
        true
    }

    /// Half of the extra may be saved up and half flows in over a window, so
    /// that no window sees more than the whole.
    fn terms(&self) -> (f64, f64) {
        let own = self.extra * USED_EXTRA_SHARE / self.entries as f64;
        (own / 2.0 / self.window_s, (own / 2.0).max(1.0))
    }

    fn bucket(&mut self, service: &str, now: MonotonicTime) -> &mut TokenBucket {
        if !self.services.contains_key(service) {
            let (rate, burst) = self.terms();
            let bucket = TokenBucket::new(rate, burst, burst, now);
            self.services.insert(service.into(), bucket);
        }
        self.services
            .get_mut(service)
            .unwrap_or_else(|| unreachable!("inserted above"))
    }
}
