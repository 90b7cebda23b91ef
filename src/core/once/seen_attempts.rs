//! Attempts that an agent has met.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::core::MonotonicTime;
use crate::core::RequestId;

/// Time for which an attempt is remembered; longer than any deadline.
const MEMORY: Duration = Duration::from_secs(1_200);

const MAX_ATTEMPTS: usize = 131_072;

/// Attempts of requests that may run at most once, as an agent has met them;
/// whichever comes a second time is not run.
#[derive(Debug, Default)]
pub struct SeenAttempts {
    known: HashSet<(RequestId, u32)>,
    order: VecDeque<(MonotonicTime, RequestId, u32)>,
}

/// Whether an attempt was met before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptCheck {
    /// It was not met before.
    New,
    /// It was met before and may have run.
    Duplicate,
    /// Too many attempts are remembered to take on another.
    TableFull,
}

impl SeenAttempts {
    /// Takes note of an attempt.
    pub fn record(&mut self, request: RequestId, attempt: u32, now: MonotonicTime) -> AttemptCheck {
        self.forget_old(now);
        if self.known.contains(&(request, attempt)) {
            return AttemptCheck::Duplicate;
        }
        if self.order.len() >= MAX_ATTEMPTS {
            return AttemptCheck::TableFull;
        }
        self.known.insert((request, attempt));
        self.order.push_back((now, request, attempt));
        AttemptCheck::New
    }

    fn forget_old(&mut self, now: MonotonicTime) {
        while let Some((since, request, attempt)) = self.order.front().copied() {
            if now.since(since) < MEMORY {
                return;
            }
            self.order.pop_front();
            self.known.remove(&(request, attempt));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn record_repeated() {
        let mut seen = SeenAttempts::default();
        let request = RequestId::random();
        let now = MonotonicTime::ZERO;
        assert_eq!(seen.record(request, 1, now), AttemptCheck::New);
        assert_eq!(seen.record(request, 1, now), AttemptCheck::Duplicate);
        assert_eq!(seen.record(request, 2, now), AttemptCheck::New);
        let later = now + MEMORY;
        assert_eq!(seen.record(request, 1, later), AttemptCheck::New);
    }

    #[test]
    fn record_full() {
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
