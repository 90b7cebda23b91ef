//! Requests of client accounts, drawn at random.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use teaseldrum::core::limit::AccountId;
use teaseldrum::core::limit::Allowance;

/// Requests a second that one entry sees at the target size.
const REQUESTS_PER_ENTRY: f64 = 17_000.0 / 350.0;

const LEAST_TOKENS: u64 = 500;
const MOST_TOKENS: u64 = 8_000;

/// Tokens a second that a rule allows, in multiples of what is used on
/// average.
const HEADROOM: f64 = 2.0;

/// Seconds of its rate that an account may use at once.
const BURST_SECONDS: f64 = 10.0;

/// Least burst, in requests of the largest size.
const LEAST_BURST_REQUESTS: u64 = 4;

/// One account in this many sends several times its rate.
const GREEDY_ONE_IN: usize = 100;

/// Multiples of its rule that such an account sends.
const GREEDY_FACTOR: f64 = 3.0;

/// Client accounts whose sizes follow Zipf's law, and their requests.
#[derive(Debug)]
pub struct Workload {
    /// Accounts and their rules, the largest first.
    pub accounts: Vec<(AccountId, Allowance)>,
    cumulated: Vec<f64>,
    total: f64,
}

impl Workload {
    /// Creates a workload for a fleet.
    pub fn new(entries: usize, accounts: usize) -> Self {
        let requests = REQUESTS_PER_ENTRY * entries as f64;
        let harmonic: f64 = (1..=accounts).map(|rank| 1.0 / rank as f64).sum();
        let mean = (LEAST_TOKENS + MOST_TOKENS) as f64 / 2.0;
        let mut rules = Vec::with_capacity(accounts);
        let mut cumulated = Vec::with_capacity(accounts);
        let mut total = 0.0;
        for rank in 1..=accounts {
            let share = requests / harmonic / rank as f64;
            let rate = (share * mean * HEADROOM).ceil() as u64;
            let burst = (rate as f64 * BURST_SECONDS) as u64;
            let burst = burst.max(LEAST_BURST_REQUESTS * MOST_TOKENS);
            let is_greedy = rank % GREEDY_ONE_IN == GREEDY_ONE_IN / 2;
            let sent = if is_greedy {
                share * HEADROOM * GREEDY_FACTOR
            } else {
                share
            };
            total += sent;
            cumulated.push(total);
            let id = AccountId(
                u32::try_from(rank)
                    .unwrap_or(u32::MAX)
                    .wrapping_mul(2_654_435_761),
            );
            rules.push((id, Allowance { rate, burst }));
        }
        Self {
            accounts: rules,
            cumulated,
            total,
        }
    }

    /// Draws the time until the next request.
    pub fn draw_gap(&self, rng: &mut StdRng) -> Duration {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.total)
    }

    /// Draws the account of a request, as an index, and its tokens.
    pub fn draw_request(&self, rng: &mut StdRng) -> Request {
        let point = rng.random_range(0.0..self.total);
        let account = self.cumulated.partition_point(|sum| *sum <= point);
        Request {
            account: account.min(self.cumulated.len() - 1),
            tokens: rng.random_range(LEAST_TOKENS..=MOST_TOKENS),
        }
    }
}

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Index of the account.
    pub account: usize,
    /// Prompt and most output together.
    pub tokens: u64,
}
