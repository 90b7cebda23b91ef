//! Collects the figures of a simulated run.

use std::collections::HashSet;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::placement::BLOCK_TOKENS;
use teaseldrum::core::placement::BlockHash;

use super::trace::NOISY_ACCOUNT;
use super::trace::TracedRequest;

/// Longest time to first token that counts as good.
const MAX_GOOD_TTFT_MS: u64 = 1_600;

/// Upper bound of the histograms.
const MAX_RECORDED_TTFT_MS: u64 = 600_000;

/// Figures of a run. Refusals and failures count during the whole run, all else
/// only for requests that arrived after the warm-up.
#[derive(Debug)]
pub struct Measures {
    measured_from: MonotonicTime,
    accounts: Vec<AccountMeasures>,
    prompt_tokens: u64,
    /// Prompt tokens found in a cache.
    hit_tokens: u64,
    /// Prompt tokens of prefixes that any earlier request had: the most that
    /// caches could hit.
    bound_tokens: u64,
    /// Prompt tokens of blocks that some server had computed before.
    recomputed_tokens: u64,
    requests: u64,
    failed: u64,
    /// Blocks of all prompts so far.
    seen_blocks: HashSet<BlockHash>,
    /// Blocks that any server has computed so far.
    computed_blocks: HashSet<BlockHash>,
}

#[derive(Debug)]
struct AccountMeasures {
    ttft_ms: Histogram<u64>,
    offered: u64,
    good: u64,
    over_rate: u64,
    refused: u64,
}

impl Measures {
    /// Creates empty figures for a number of accounts.
    pub fn new(accounts: usize, warm_up: Duration) -> Self {
        let accounts = (0..accounts).map(|_| AccountMeasures {
            ttft_ms: make_histogram(),
            offered: 0,
            good: 0,
            over_rate: 0,
            refused: 0,
        });
        Self {
            measured_from: MonotonicTime::ZERO + warm_up,
            accounts: accounts.collect(),
            prompt_tokens: 0,
            hit_tokens: 0,
            bound_tokens: 0,
            recomputed_tokens: 0,
            requests: 0,
            failed: 0,
            seen_blocks: HashSet::new(),
            computed_blocks: HashSet::new(),
        }
    }

    /// Counts a request that its account's rate allows.
    pub fn record_offered(&mut self, request: &TracedRequest) {
        if self.is_measured(request) {
            self.requests += 1;
            self.accounts[request.account].offered += 1;
            let known = count_known_prefix(&request.blocks, &self.seen_blocks);
            self.bound_tokens += (known * BLOCK_TOKENS) as u64;
        }
        self.seen_blocks.extend(&request.blocks);
    }

    /// Counts a request refused because it exceeds its account's rate.
    pub fn record_refused_over_rate(&mut self, request: &TracedRequest) {
        self.accounts[request.account].over_rate += 1;
    }

    /// Counts a request refused for want of a server, although its account's rate
    /// allows it.
    pub fn record_refused_in_rate(&mut self, request: &TracedRequest) {
        self.accounts[request.account].refused += 1;
    }

    /// Counts a request whose attempts all failed.
    pub fn record_failed(&mut self) {
        self.failed += 1;
    }

    /// Counts a prompt that an engine starts to compute, and the tokens of it that
    /// the engine had cached.
    pub fn record_prompt_start(&mut self, request: &TracedRequest, cached: u32) {
        let first = cached as usize / BLOCK_TOKENS;
        let blocks = &request.blocks[first.min(request.blocks.len())..];
        let recomputed = blocks
            .iter()
            .filter(|block| !self.computed_blocks.insert(**block));
        let recomputed = (recomputed.count() * BLOCK_TOKENS) as u64;
        if self.is_measured(request) {
            self.prompt_tokens += u64::from(request.tokens());
            self.hit_tokens += u64::from(cached);
            self.recomputed_tokens += recomputed;
        }
    }

    /// Counts the first token of a request, `millis` after its arrival.
    pub fn record_first_token(&mut self, request: &TracedRequest, millis: u64) {
        if !self.is_measured(request) {
            return;
        }
        let account = &mut self.accounts[request.account];
        account.ttft_ms.saturating_record(millis.max(1));
        if millis <= MAX_GOOD_TTFT_MS {
            account.good += 1;
        }
    }

    /// Returns the figures as one JSON object.
    pub fn to_json(&self) -> Value {
        let all = self.merge(|_| true);
        let others = self.merge(|account| account != NOISY_ACCOUNT);
        let worst_p99 = self
            .accounts
            .iter()
            .map(|a| a.ttft_ms.value_at_quantile(0.99));
        let goodput = self.accounts.iter().map(|a| ratio(a.good, a.offered));
        let refused: u64 = self.accounts.iter().map(|a| a.refused).sum();
        let over_rate: u64 = self.accounts.iter().map(|a| a.over_rate).sum();
        json!({
            "prefix_hit_rate": round(ratio(self.hit_tokens, self.prompt_tokens)),
            "bound_hit_rate": round(ratio(self.bound_tokens, self.prompt_tokens)),
            "ttft_p50_ms": all.value_at_quantile(0.5),
            "ttft_p95_ms": all.value_at_quantile(0.95),
            "ttft_p99_ms": all.value_at_quantile(0.99),
            "recomputed_tokens_ratio": round(ratio(self.recomputed_tokens, self.prompt_tokens)),
            "worst_account_ttft_p99_ms": worst_p99.max().unwrap_or(0),
            "worst_account_goodput_ratio": round(goodput.fold(1.0, f64::min)),
            "other_accounts_ttft_p95_ms": others.value_at_quantile(0.95),
            "refused_in_rate": refused,
            "refused_over_rate": over_rate,
            "failed": self.failed,
            "requests": self.requests,
        })
    }

    fn is_measured(&self, request: &TracedRequest) -> bool {
        request.at >= self.measured_from
    }

    fn merge(&self, includes: impl Fn(usize) -> bool) -> Histogram<u64> {
        let mut merged = make_histogram();
        for (account, measures) in self.accounts.iter().enumerate() {
            if includes(account) {
                merged += &measures.ttft_ms;
            }
        }
        merged
    }
}

fn make_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_TTFT_MS, 3).expect("valid bounds")
}

fn count_known_prefix(blocks: &[BlockHash], known: &HashSet<BlockHash>) -> usize {
    blocks
        .iter()
        .take_while(|block| known.contains(block))
        .count()
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        1.0
    } else {
        part as f64 / whole as f64
    }
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
