//! Decision about another attempt.

use std::time::Duration;

use super::AttemptFailure;
use super::RetryBudget;

/// Least time before the deadline in which another attempt is worth it.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Bounds on the attempts of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Most attempts of a request.
    pub max_attempts: u32,
    /// The request may run at most once.
    pub once: bool,
}

/// Reason for which no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The refusal holds for any further attempt.
    NotRetryable,
    /// The request may have run and must not run twice.
    MayHaveRun,
    /// The deadline is too near.
    DeadlineNear,
    /// The bound on attempts is reached.
    AttemptLimit,
    /// The entry makes too many retries already.
    BudgetExhausted,
}

impl RetryPolicy {
    /// Decides whether another attempt may follow the failed one with this
    /// number, `left` before the deadline.
    ///
    /// # Errors
    ///
    /// No further attempt is made; the caller is to be told at once.
    pub fn check_retry(
        &self,
        attempt: u32,
        failure: AttemptFailure,
        left: Duration,
        budget: &mut RetryBudget,
    ) -> Result<(), GiveUpReason> {
        match failure {
            AttemptFailure::Refused(refusal) if !refusal.is_retryable() => {
                return Err(GiveUpReason::NotRetryable);
            }
            AttemptFailure::Unknown if self.once => return Err(GiveUpReason::MayHaveRun),
            _ => {}
        }
        if left < MIN_TIME_LEFT {
            return Err(GiveUpReason::DeadlineNear);
        }
        if attempt >= self.max_attempts {
            return Err(GiveUpReason::AttemptLimit);
        }
        if !failure.is_stale_plan() && !budget.take_retry() {
            return Err(GiveUpReason::BudgetExhausted);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;
    use crate::core::AttemptRefusal;

    const SECOND: Duration = Duration::from_secs(1);

    #[rstest]
    #[case::unsent(false, 1, AttemptFailure::Unsent, SECOND, Ok(()))]
    #[case::idempotent(false, 1, AttemptFailure::Unknown, SECOND, Ok(()))]
    #[case::once(
        true,
        1,
        AttemptFailure::Unknown,
        SECOND,
        Err(GiveUpReason::MayHaveRun)
    )]
    #[case::last(
        false,
        3,
        AttemptFailure::Unsent,
        SECOND,
        Err(GiveUpReason::AttemptLimit)
    )]
    #[case::late(
        false,
        1,
        AttemptFailure::Unsent,
        Duration::ZERO,
        Err(GiveUpReason::DeadlineNear)
    )]
    #[case::withdrawn(
        false,
        1,
        AttemptFailure::Refused(AttemptRefusal::KeyWithdrawn),
        SECOND,
        Err(GiveUpReason::NotRetryable)
    )]
    fn check_retry_each(
        #[case] once: bool,
        #[case] attempt: u32,
        #[case] failure: AttemptFailure,
        #[case] left: Duration,
        #[case] expected: Result<(), GiveUpReason>,
    ) {
        let policy = RetryPolicy {
            max_attempts: 3,
            once,
        };
        let judged = policy.check_retry(attempt, failure, left, &mut RetryBudget::new());
        assert_eq!(judged, expected);
    }

    #[test]
    fn check_retry_budget_spent() {
        let policy = RetryPolicy {
            max_attempts: 3,
            once: false,
        };
        let mut budget = RetryBudget::new();
        while budget.take_retry() {}
        let unsent = policy.check_retry(1, AttemptFailure::Unsent, SECOND, &mut budget);
        assert_eq!(unsent, Err(GiveUpReason::BudgetExhausted));
        let stale = AttemptFailure::Refused(AttemptRefusal::AgentRestarted);
        assert_eq!(policy.check_retry(1, stale, SECOND, &mut budget), Ok(()));
    }
}
