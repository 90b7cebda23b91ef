//! Waiting calls of one priority, and what calls of it asked for and got.

use std::time::Duration;

use super::OfferedCall;
use crate::core::AccountName;
use crate::core::MonotonicTime;
use crate::core::fair_queue::FairQueue;
use crate::core::fleet::decaying_sum::DecayingSum;

/// Most calls of one priority that wait for one service; an entry with 1/24 of a fleet
/// starts some tens of calls a second.
pub(super) const MAX_WAITING: usize = 256;

/// Tokens of an account of mean weight within which the share of the accounts does not
/// count but the latest start does: about as many as the longest usual prompt, so that
/// long prompts are not always behind.
const ORDER_QUANTUM_TOKENS: u64 = 8_000;

/// Units of [`FairQueue`]'s tags for a token of an account of mean weight.
const UNITS_PER_TOKEN: u64 = 1_000_000 / OfferedCall::MEAN_WEIGHT as u64;

/// Time in which work that was asked for and started loses its weight.
const WORK_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Time without a call after which a kind no longer counts.
const KIND_EXPIRY: Duration = Duration::from_secs(10);

/// Waiting calls of one priority, and what calls of it asked for and got.
#[derive(Debug)]
pub(super) struct CallKindState {
    /// Tickets of the waiting calls; holds one more than [`MAX_WAITING`] until the last
    /// in order is refused.
    pub queue: FairQueue<Option<AccountName>, u64>,
    /// Milliseconds of work that calls asked for, and that were started.
    pub asked_ms: DecayingSum,
    pub started_ms: DecayingSum,
    /// Work of the waiting calls, in milliseconds.
    pub waiting_ms: f64,
    pub objective: Duration,
    pub seen_at: MonotonicTime,
}

impl CallKindState {
    /// Creates the state of a priority whose first call has `objective`.
    pub fn new(objective: Duration, now: MonotonicTime) -> Self {
        Self {
            queue: FairQueue::with_quantum(MAX_WAITING + 1, ORDER_QUANTUM_TOKENS * UNITS_PER_TOKEN),
            asked_ms: DecayingSum::new(WORK_TIME_CONSTANT),
            started_ms: DecayingSum::new(WORK_TIME_CONSTANT),
            waiting_ms: 0.0,
            objective,
            seen_at: now,
        }
    }

    /// Returns whether calls of this priority have come lately.
    pub fn is_active(&self, now: MonotonicTime) -> bool {
        now.since(self.seen_at) < KIND_EXPIRY
    }

    /// Returns the milliseconds of work a second that calls of this priority ask for,
    /// waiting ones included.
    pub fn demand_ms(&self, now: MonotonicTime) -> f64 {
        self.asked_ms.rate(now) + self.waiting_ms
    }

    /// Returns the part of the work asked for that was started; 1 without any.
    pub fn served_ratio(&self, now: MonotonicTime) -> f64 {
        let asked = self.asked_ms.at(now);
        if asked < 1.0 {
            1.0
        } else {
            self.started_ms.at(now) / asked
        }
    }
}
