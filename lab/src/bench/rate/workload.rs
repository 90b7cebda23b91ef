//! Random requests of client accounts.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use teaseldrum::core::limit::AccountId;
use teaseldrum::core::limit::Allowance;

/// Requests per second of one entry: 17,000 over the 350 entries of the target
/// size.
const REQUESTS_PER_ENTRY: f64 = 17_000.0 / 350.0;

const MIN_REQUEST_TOKENS: u64 = 500;
const MAX_REQUEST_TOKENS: u64 = 8_000;

/// Rate that a rule allows, as a multiple of the mean use of the account.
const RATE_HEADROOM: f64 = 2.0;

/// Burst of a rule, in seconds of its rate.
const BURST_SECONDS: f64 = 10.0;

/// Smallest burst of a rule, in requests of the largest size.
const MIN_BURST_REQUESTS: u64 = 4;

/// One account in this many sends more than its rule allows.
const OVERLOADING_ONE_IN: usize = 100;

/// Load of such an account, as a multiple of the rate of its rule.
const OVERLOADING_FACTOR: f64 = 3.0;

/// Client accounts whose request rates follow Zipf's law, and their requests.
#[derive(Debug)]
pub struct Workload {
    /// Accounts and their rules, the one with the highest rate first.
    pub accounts: Vec<(AccountId, Allowance)>,
    /// For each account, the requests per second of it and all before it.
    cumulative_rates: Vec<f64>,
    /// Requests per second of all accounts.
    total_rate: f64,
}

impl Workload {
    /// Creates the workload for a fleet with this many entries and accounts.
    pub fn new(entries: usize, accounts: usize) -> Self {
        let total_request_rate = REQUESTS_PER_ENTRY * entries as f64;
        let harmonic_sum: f64 = (1..=accounts).map(|rank| 1.0 / rank as f64).sum();
        let mean_tokens = (MIN_REQUEST_TOKENS + MAX_REQUEST_TOKENS) as f64 / 2.0;
        let mut rules = Vec::with_capacity(accounts);
        let mut cumulative_rates = Vec::with_capacity(accounts);
        let mut total_rate = 0.0;
        for rank in 1..=accounts {
            let request_rate = total_request_rate / harmonic_sum / rank as f64;
            let rate = (request_rate * mean_tokens * RATE_HEADROOM).ceil() as u64;
            let burst = (rate as f64 * BURST_SECONDS) as u64;
            let burst = burst.max(MIN_BURST_REQUESTS * MAX_REQUEST_TOKENS);
            let is_overloading = rank % OVERLOADING_ONE_IN == OVERLOADING_ONE_IN / 2;
            let sent_rate = if is_overloading {
                request_rate * RATE_HEADROOM * OVERLOADING_FACTOR
            } else {
                request_rate
            };
            total_rate += sent_rate;
            cumulative_rates.push(total_rate);
            let id = AccountId(
                u32::try_from(rank)
                    .unwrap_or(u32::MAX)
                    .wrapping_mul(2_654_435_761),
            );
            rules.push((id, Allowance { rate, burst }));
        }
        Self {
            accounts: rules,
            cumulative_rates,
            total_rate,
        }
    }

    /// Draws the time until the next request of any account; arrivals are a
    /// Poisson process.
    pub fn draw_gap(&self, rng: &mut StdRng) -> Duration {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.total_rate)
    }

    /// Draws the account and the tokens of a request.
    pub fn draw_request(&self, rng: &mut StdRng) -> Request {
        let draw = rng.random_range(0.0..self.total_rate);
        let account = self.cumulative_rates.partition_point(|sum| *sum <= draw);
        Request {
            account: account.min(self.cumulative_rates.len() - 1),
            tokens: rng.random_range(MIN_REQUEST_TOKENS..=MAX_REQUEST_TOKENS),
        }
    }
}

/// A request that arrives at an entry.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Index of the account in [`Workload::accounts`].
    pub account: usize,
    /// Tokens charged for it: the prompt and the largest allowed output.
    pub tokens: u64,
}
