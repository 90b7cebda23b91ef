//! Counts the calls of prompt parts that are in demand at the moment.

use std::collections::HashMap;
use std::time::Duration;

use crate::core::MonotonicTime;
use crate::core::fleet::PartId;

/// Time in which a call loses half of its weight. Engines keep a part for longer than
/// this, so that a copy serves at least the calls that are counted.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Maximum number of parts that are counted.
const MAX_PARTS: usize = 1_024;

/// Weight below which a part is no longer counted.
const MIN_WEIGHT: f64 = 0.5;

/// Minimum share of the cost of one more copy that a call bears.
const MIN_COPY_SHARE: f64 = 0.125;

/// Recent calls of this entry by the last shared part of their prompt.
#[derive(Debug, Default)]
pub(in crate::core::fleet) struct HotParts {
    calls: HashMap<PartId, (f64, MonotonicTime)>,
}

impl HotParts {
    /// Counts a call with a part.
    pub fn record_call(&mut self, part: PartId, now: MonotonicTime) {
        if self.calls.len() >= MAX_PARTS && !self.calls.contains_key(&part) {
            self.calls
                .retain(|_, (calls, at)| decay(*calls, *at, now) >= MIN_WEIGHT);
            if self.calls.len() >= MAX_PARTS {
                return;
            }
        }
        let (calls, at) = self.calls.entry(part).or_insert((0.0, now));
        *calls = decay(*calls, *at, now) + 1.0;
        *at = now;
    }

    /// Returns the share of the cost of one more copy of a part that a call bears: the
    /// calls that follow use the copy as well.
    pub fn copy_share(&self, part: PartId, now: MonotonicTime) -> f64 {
        let calls = self.calls.get(&part);
        let recent = calls.map_or(0.0, |(calls, at)| decay(*calls, *at, now));
        (1.0 / recent.max(1.0)).max(MIN_COPY_SHARE)
    }
}

fn decay(calls: f64, at: MonotonicTime, now: MonotonicTime) -> f64 {
    calls * 0.5_f64.powf(now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64())
}
