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
pub enum GiveUp {
    /// The refusal holds for any further attempt.
    Final,
    /// The request may have run and must not run twice.
    MayHaveRun,
    /// The deadline is too near.
    Deadline,
    /// The bound on attempts is reached.
    Attempts,
    /// The entry makes too many retries already.
    Budget,
}

impl RetryPolicy {
    /// Decides whether another attempt may follow the failed one with this
    /// number, `left` before the deadline.
    ///
    /// # Errors
    ///
    /// No further attempt is made; the caller is to be told at once.
    pub fn judge(
        &self,
        attempt: u32,
        failure: AttemptFailure,
        left: Duration,
        budget: &mut RetryBudget,
    ) -> Result<(), GiveUp> {
        match failure {
            AttemptFailure::Refused(refusal) if !refusal.may_plan_again() => {
                return Err(GiveUp::Final);
            }
            AttemptFailure::Unknown if self.once => return Err(GiveUp::MayHaveRun),
            _ => {}
        }
        if left < MIN_TIME_LEFT {
            return Err(GiveUp::Deadline);
        }
        if attempt >= self.max_attempts {
            return Err(GiveUp::Attempts);
        }
        if !failure.is_stale_plan() && !budget.take_retry() {
            return Err(GiveUp::Budget);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;
    use crate::core::Refusal;

    const SECOND: Duration = Duration::from_secs(1);

    #[rstest]
    #[case::unsent(false, 1, AttemptFailure::Unsent, SECOND, Ok(()))]
    #[case::idempotent(false, 1, AttemptFailure::Unknown, SECOND, Ok(()))]
    #[case::once(true, 1, AttemptFailure::Unknown, SECOND, Err(GiveUp::MayHaveRun))]
    #[case::last(false, 3, AttemptFailure::Unsent, SECOND, Err(GiveUp::Attempts))]
    #[case::late(
        false,
        1,
        AttemptFailure::Unsent,
        Duration::ZERO,
        Err(GiveUp::Deadline)
    )]
    #[case::withdrawn(
        false,
        1,
        AttemptFailure::Refused(Refusal::KeyWithdrawn),
        SECOND,
        Err(GiveUp::Final)
    )]
    fn judge_each(
        #[case] once: bool,
        #[case] attempt: u32,
        #[case] failure: AttemptFailure,
        #[case] left: Duration,
        #[case] expected: Result<(), GiveUp>,
    ) {
        let policy = RetryPolicy {
            max_attempts: 3,
            once,
        };
        let judged = policy.judge(attempt, failure, left, &mut RetryBudget::new());
        assert_eq!(judged, expected);
    }

    #[test]
    fn judge_budget_spent() {
        let policy = RetryPolicy {
            max_attempts: 3,
            once: false,
        };
        let mut budget = RetryBudget::new();
        while budget.take_retry() {}
        let unsent = policy.judge(1, AttemptFailure::Unsent, SECOND, &mut budget);
        assert_eq!(unsent, Err(GiveUp::Budget));
        let stale = AttemptFailure::Refused(Refusal::AgentRestarted);
        assert_eq!(policy.judge(1, stale, SECOND, &mut budget), Ok(()));
    }
}
