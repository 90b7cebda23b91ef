//! Spreads the returns of refused callers over the time in which there is capacity,
//! and recognises the callers.

use std::collections::HashMap;
use std::time::Duration;

use crate::core::MonotonicTime;

/// Shortest time after which a caller is told to return.
const MIN_AFTER: Duration = Duration::from_millis(150);

/// Largest part of its remaining time that a caller waits before it returns.
const MAX_AFTER_SHARE: f64 = 1.0 / 3.0;

/// Largest number of refused calls that are remembered.
const MAX_REFUSED: usize = 4_096;

/// Time after the announced return for which a refused call is remembered.
const RETURN_MARGIN: Duration = Duration::from_secs(2);

/// When refused callers were told to return to one service.
#[derive(Debug, Default)]
pub(super) struct ReturnSchedule {
    /// Until when capacity is promised to callers that return.
    promised_until: MonotonicTime,
    refused: HashMap<u64, MonotonicTime>,
}

impl ReturnSchedule {
    /// Returns after which time a caller should return. `drained_after` is the time that
    /// calls ahead of it take, and `slot` the time that its own call takes of this
    /// entry's capacity. If all of the caller's time is promised to others, the returns
    /// are spread evenly over it by `spread`, from 0 to 1.
    pub fn schedule(
        &mut self,
        identity: u64,
        (drained_after, slot): (Duration, Duration),
        remaining: Duration,
        spread: f64,
        now: MonotonicTime,
    ) -> Duration {
        let longest = remaining.mul_f64(MAX_AFTER_SHARE).max(MIN_AFTER);
        let earliest = drained_after.max(MIN_AFTER);
        let planned = self.promised_until.max(now + earliest);
        let after = if planned.since(now) <= longest {
            self.promised_until = planned + slot;
            planned.since(now)
        } else {
            let from = earliest.min(longest.mul_f64(0.5));
            from + longest.saturating_sub(from).mul_f64(spread)
        };
        if self.refused.len() >= MAX_REFUSED {
            self.refused.retain(|_, until| *until > now);
        }
        if self.refused.len() < MAX_REFUSED {
            self.refused.insert(identity, now + after + RETURN_MARGIN);
        }
        after
    }

    /// Returns whether a call was refused before and has come back; true once.
    pub fn take_return(&mut self, identity: u64, now: MonotonicTime) -> bool {
        self.refused
            .remove(&identity)
            .is_some_and(|until| until > now)
    }

    /// Forgets calls that did not come back.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.refused.retain(|_, until| *until > now);
    }
}
