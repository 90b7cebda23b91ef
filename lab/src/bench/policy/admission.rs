//! Rates of the client accounts, exact over all entries: how shares of a rate
//! are lent between entries is measured elsewhere.

use teaseldrum::core::MonotonicTime;

use super::workload::Sizes;

const RATE_HEADROOM: f64 = 1.4;
const BURST_SECONDS: f64 = 10.0;

/// One account's rate and what is left of it.
#[derive(Debug)]
pub struct Admission {
    buckets: Vec<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    left: f64,
    refilled_at: MonotonicTime,
}

impl Admission {
    /// Gives each account a rate above its usual traffic.
    pub fn new(sizes: &Sizes) -> Self {
        let (least, most) = sizes.document_tokens;
        let usual = f64::from(least + most) / 2.0;
        let usual = usual + f64::from(sizes.section_tokens.1) + f64::from(sizes.output_tokens.1);
        let accounts = sizes.account_shares.iter().zip(sizes.preamble_tokens);
        let buckets = accounts.map(|(share, &preamble)| {
            let tokens = usual + f64::from(preamble);
            let rate = sizes.requests_per_second * share * tokens * RATE_HEADROOM;
            Bucket {
                rate,
                left: rate * BURST_SECONDS,
                refilled_at: MonotonicTime::ZERO,
            }
        });
        Self {
            buckets: buckets.collect(),
        }
    }

    /// Charges an account for a request; false if it is beyond the rate.
    pub fn admit(&mut self, account: usize, tokens: u32, now: MonotonicTime) -> bool {
        let bucket = &mut self.buckets[account];
        let passed = now.since(bucket.refilled_at).as_secs_f64();
        bucket.refilled_at = now;
        let most = bucket.rate * BURST_SECONDS;
        bucket.left = most.min(bucket.left + passed * bucket.rate);
        if bucket.left < f64::from(tokens) {
            return false;
        }
        bucket.left -= f64::from(tokens);
        true
    }
}
