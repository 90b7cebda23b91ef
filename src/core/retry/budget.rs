//! Budget that limits retries to a share of requests.

/// Credit that a new request adds, in thousandths of a retry.
const CREDIT_PER_REQUEST: u64 = 100;

/// Maximum number of retries without new requests in between.
const MAX_BURST_RETRIES: u64 = 50;

/// Credit that a retry costs, in thousandths of a retry.
const CREDIT_PER_RETRY: u64 = 1_000;

/// Budget that limits retries to a share of requests: each request adds credit
/// for a tenth of a retry, and each retry uses credit for a whole one. Whatever
/// fails, an entry adds at most that share to the load, and so does the fleet.
/// The method is the retry budget of the Finagle library.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    /// Unused credit, in thousandths of a retry.
    credit: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self {
            credit: MAX_BURST_RETRIES * CREDIT_PER_RETRY,
        }
    }

    /// Adds the credit of a new request.
    pub fn add_request(&mut self) {
        let credit = self.credit + CREDIT_PER_REQUEST;
        self.credit = credit.min(MAX_BURST_RETRIES * CREDIT_PER_RETRY);
    }

    /// Uses the credit of a retry; returns `false` if there is not enough.
    pub fn take_retry(&mut self) -> bool {
        if self.credit < CREDIT_PER_RETRY {
            return false;
        }
        self.credit -= CREDIT_PER_RETRY;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn take_retry_bounded_by_requests() {
        let mut budget = RetryBudget::new();
        while budget.take_retry() {}
        let mut retries = 0;
        for _ in 0..10_000 {
            budget.add_request();
            if budget.take_retry() {
                retries += 1;
            }
        }
        assert_eq!(retries, 1_000);
    }
}
