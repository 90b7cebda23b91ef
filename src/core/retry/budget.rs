//! A bound on retries as a share of requests.

/// Retries that a thousand requests pay for.
const RETRIES_PER_1000_REQUESTS: u64 = 100;

/// Retries that may follow each other without new requests.
const MAX_SAVED_RETRIES: u64 = 50;

const COST: u64 = 1_000;

/// A bound on retries as a share of requests: each request pays a tenth of a
/// retry in, each retry takes a whole one out. Whatever fails, an entry adds
/// at most that share to the load, and so does the fleet. The method is the
/// retry budget of the Finagle library.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    saved: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES * COST,
        }
    }

    /// Takes note of a new request.
    pub fn add_request(&mut self) {
        let saved = self.saved + RETRIES_PER_1000_REQUESTS;
        self.saved = saved.min(MAX_SAVED_RETRIES * COST);
    }

    /// Takes out a retry; false if there is none.
    pub fn take_retry(&mut self) -> bool {
        if self.saved < COST {
            return false;
        }
        self.saved -= COST;
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
    fn take_retry_share_of_requests() {
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
