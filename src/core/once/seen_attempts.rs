//! Attempts that an agent has received, by which it detects duplicates.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::core::MonotonicTime;
use crate::core::RequestId;

/// Time for which an attempt is remembered: longer than any deadline.
const RETENTION: Duration = Duration::from_secs(1_200);

/// Maximum number of attempts remembered at a time.
const MAX_ATTEMPTS: usize = 131_072;

/// Attempts of requests that may run at most once which an agent has received.
/// An attempt that arrives a second time is not run.
#[derive(Debug, Default)]
pub struct SeenAttempts {
    attempts: HashSet<(RequestId, u32)>,
    by_age: VecDeque<(MonotonicTime, RequestId, u32)>,
}

/// Whether an attempt was received before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptCheck {
    /// The attempt was not received before.
    New,
    /// The attempt was received before and may have run.
    Duplicate,
    /// `MAX_ATTEMPTS` attempts are remembered already. This one was not
    /// recorded and must not run.
    TableFull,
}

impl SeenAttempts {
    /// Records an attempt and returns whether it was received before.
    pub fn record(&mut self, request: RequestId, attempt: u32, now: MonotonicTime) -> AttemptCheck {
        self.remove_expired(now);
        if self.attempts.contains(&(request, attempt)) {
            return AttemptCheck::Duplicate;
        }
        if self.by_age.len() >= MAX_ATTEMPTS {
            return AttemptCheck::TableFull;
        }
        self.attempts.insert((request, attempt));
        self.by_age.push_back((now, request, attempt));
        AttemptCheck::New
    }

    fn remove_expired(&mut self, now: MonotonicTime) {
        while let Some((recorded_at, request, attempt)) = self.by_age.front().copied() {
            if now.since(recorded_at) < RETENTION {
                return;
            }
            self.by_age.pop_front();
            self.attempts.remove(&(request, attempt));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn record_duplicate() {
        let mut seen = SeenAttempts::default();
        let request = RequestId::random();
        let now = MonotonicTime::ZERO;
        assert_eq!(seen.record(request, 1, now), AttemptCheck::New);
        assert_eq!(seen.record(request, 1, now), AttemptCheck::Duplicate);
        assert_eq!(seen.record(request, 2, now), AttemptCheck::New);
        let later = now + RETENTION;
        assert_eq!(seen.record(request, 1, later), AttemptCheck::New);
    }

    #[test]
    fn record_table_full() {
        let mut seen = SeenAttempts::default();
        let now = MonotonicTime::ZERO;
        for _ in 0..MAX_ATTEMPTS {
            seen.record(RequestId::random(), 1, now);
        }
        assert_eq!(
            seen.record(RequestId::random(), 1, now),
            AttemptCheck::TableFull
        );
    }
}
