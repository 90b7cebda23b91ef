//! One exact token bucket per client account for all entries together. How
//! entries lend each other shares of a rate is measured by `bench rate`.

use teaseldrum::core::MonotonicTime;

use super::workload::WorkloadParameters;

/// Rate of an account, as a multiple of its usual traffic.
const RATE_HEADROOM: f64 = 1.4;
/// Burst of an account, in seconds of its rate.
const BURST_SECONDS: f64 = 10.0;

/// Token buckets of all accounts.
#[derive(Debug)]
pub struct RateLimits {
    buckets: Vec<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Tokens per second.
    rate: f64,
    tokens_left: f64,
    refilled_at: MonotonicTime,
}

impl RateLimits {
    /// Creates full buckets whose rates exceed the usual traffic of the accounts.
    pub fn new(parameters: &WorkloadParameters) -> Self {
        let (min_document, max_document) = parameters.document_tokens;
        let usual_tokens = f64::from(min_document + max_document) / 2.0;
        let usual_tokens = usual_tokens
            + f64::from(parameters.section_tokens.1)
            + f64::from(parameters.output_tokens.1);
        let accounts = parameters
            .account_shares
            .iter()
            .zip(parameters.preamble_tokens);
        let buckets = accounts.map(|(share, &preamble)| {
            let tokens = usual_tokens + f64::from(preamble);
            let rate = parameters.requests_per_second * share * tokens * RATE_HEADROOM;
            Bucket {
                rate,
                tokens_left: rate * BURST_SECONDS,
                refilled_at: MonotonicTime::ZERO,
            }
        });
        Self {
            buckets: buckets.collect(),
        }
    }

    /// Charges an account for a request. Returns false, and charges nothing, if
    /// its bucket has too few tokens.
    pub fn admit(&mut self, account: usize, tokens: u32, now: MonotonicTime) -> bool {
        let bucket = &mut self.buckets[account];
        let passed = now.since(bucket.refilled_at).as_secs_f64();
        bucket.refilled_at = now;
        let max_document = bucket.rate * BURST_SECONDS;
        bucket.tokens_left = max_document.min(bucket.tokens_left + passed * bucket.rate);
        if bucket.tokens_left < f64::from(tokens) {
            return false;
        }
        bucket.tokens_left -= f64::from(tokens);
        true
    }
}
