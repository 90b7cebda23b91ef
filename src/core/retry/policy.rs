//! Limits on the attempts of one request.

use std::time::Duration;

use super::AttemptFailure;
use super::RetryBudget;

/// Minimum time before the deadline for another attempt to be useful.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Limits on the attempts of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of attempts, the first included.
    pub max_attempts: u32,
    /// Whether the request may run at most once.
    pub once: bool,
}

/// Reason for which no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// Any further attempt would be refused for the same reason.
    NotRetryable,
    /// The request may have run and must not run twice.
    MayHaveRun,
    /// The deadline is less than `MIN_TIME_LEFT` away.
    DeadlineNear,
    /// The maximum number of attempts was made.
    AttemptLimit,
    /// The entry's retry budget is exhausted.
    BudgetExhausted,
}

impl RetryPolicy {
    /// Decides whether another attempt may follow the failed one with number
    /// `attempt`, when `time_left` remains until the deadline. A retry is
    /// charged to `budget`, unless the attempt's plan was stale: the agent, the
    /// engine or its weights were no longer those that the entry assumed.
    ///
    /// # Errors
    ///
    /// No further attempt may be made; the caller should be told immediately.
    pub fn check_retry(
        &self,
        attempt: u32,
        failure: AttemptFailure,
        time_left: Duration,
        budget: &mut RetryBudget,
    ) -> Result<(), GiveUpReason> {
        match failure {
            AttemptFailure::Refused(refusal) if !refusal.is_retryable() => {
                return Err(GiveUpReason::NotRetryable);
            }
            AttemptFailure::Unknown if self.once => return Err(GiveUpReason::MayHaveRun),
            _ => {}
        }
        if time_left < MIN_TIME_LEFT {
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
    #[case::may_run_twice(false, 1, AttemptFailure::Unknown, SECOND, Ok(()))]
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
    fn check_retry_by_failure(
        #[case] once: bool,
        #[case] attempt: u32,
        #[case] failure: AttemptFailure,
        #[case] time_left: Duration,
        #[case] expected: Result<(), GiveUpReason>,
    ) {
        let policy = RetryPolicy {
            max_attempts: 3,
            once,
        };
        let decision = policy.check_retry(attempt, failure, time_left, &mut RetryBudget::new());
        assert_eq!(decision, expected);
    }

    #[test]
    fn check_retry_budget_exhausted() {
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
