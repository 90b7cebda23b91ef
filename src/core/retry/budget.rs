//! A bound on retries as a share of requests.

/// Retries that a thousand requests pay for.
const CREDIT_PER_REQUEST: u64 = 100;

/// Retries that may follow each other without new requests.
const MAX_BURST_RETRIES: u64 = 50;

const CREDIT_PER_RETRY: u64 = 1_000;

/// A bound on retries as a share of requests: each request pays a tenth of a
/// retry in, each retry takes a whole one out. Whatever fails, an entry adds
/// at most that share to the load, and so does the fleet. The method is the
/// retry budget of the Finagle library.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    credit: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self {
            credit: MAX_BURST_RETRIES * CREDIT_PER_RETRY,
        }
    }

    /// Takes note of a new request.
    pub fn add_request(&mut self) {
        let credit = self.credit + CREDIT_PER_REQUEST;
        self.credit = credit.min(MAX_BURST_RETRIES * CREDIT_PER_RETRY);
    }

    /// Takes out a retry; false if there is none.
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
