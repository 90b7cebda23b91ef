//! Requests of a run, drawn from a seed before it starts.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use teaseldrum::core::AccountName;
use teaseldrum::core::CacheSalt;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::placement::BLOCK_TOKENS;
use teaseldrum::core::placement::BlockHash;
use teaseldrum::core::placement::PromptPrefix;

use super::fault::Fault;
use super::workload::Sizes;

/// Account that sends several times its rate under [`Fault::NoisyAccount`].
pub const NOISY_ACCOUNT: usize = 1;

const NOISE_FACTOR: f64 = 5.0;
const HOT_SHARE: f64 = 0.25;
const DRIFTING_SHARE: usize = 10;

/// One request of a run.
#[derive(Debug, Clone)]
pub struct TracedRequest {
    /// Time of arrival at an entry.
    pub at: MonotonicTime,
    /// Number of the client account.
    pub account: usize,
    /// Draw that picks the entry.
    pub entry_draw: usize,
    /// Hashes of all full blocks of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Fingerprints of the prompt.
    pub prefix: PromptPrefix,
    /// Tokens of the answer.
    pub output_tokens: u32,
}

impl TracedRequest {
    /// Returns the length of the prompt in tokens.
    pub fn tokens(&self) -> u32 {
        self.prefix.tokens
    }
}

/// Returns the span of the run within which a fault acts.
pub fn fault_span(sizes: &Sizes) -> std::ops::Range<MonotonicTime> {
    let counted = sizes.duration - sizes.warm_up;
    let start = MonotonicTime::ZERO + sizes.warm_up + counted / 4;
    start..start + counted / 2
}

/// Draws the requests of a run.
pub fn draw_trace(sizes: &Sizes, fault: Fault, seed: u64) -> Vec<TracedRequest> {
    TraceSource::new(sizes, fault, seed).draw()
}

struct TraceSource<'a> {
    sizes: &'a Sizes,
    fault: Fault,
    rng: StdRng,
    documents: Vec<Document>,
    /// Documents of each account, the most popular first.
    ranked: Vec<Vec<usize>>,
    next_own: u64,
    /// Makes the texts of two seeds differ.
    text_seed: u64,
}

struct Document {
    account: usize,
    sections: Vec<Vec<BlockHash>>,
}

impl<'a> TraceSource<'a> {
    fn new(sizes: &'a Sizes, fault: Fault, seed: u64) -> Self {
        let mut source = Self {
            sizes,
            fault,
            rng: StdRng::seed_from_u64(seed),
            documents: Vec::new(),
            ranked: vec![Vec::new(); sizes.account_shares.len()],
            next_own: 1 << 32,
            text_seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        source.draw_documents();
        source
    }

    fn draw_documents(&mut self) {
        for (account, share) in self.sizes.account_shares.iter().enumerate() {
            let preamble = self.extend_blocks(&[], account, 0, self.sizes.preamble_tokens[account]);
            let count = (share * self.sizes.documents as f64).ceil() as usize;
            for _ in 0..count {
                let number = self.documents.len();
                self.ranked[account].push(number);
                let document = self.draw_document(account, number, &preamble);
                self.documents.push(document);
            }
        }
    }

    fn draw_document(&mut self, account: usize, number: usize, preamble: &[BlockHash]) -> Document {
        let tokens = self.draw_tokens(self.sizes.document_tokens);
        let id = (number as u64 + 1) << 8;
        let body = self.extend_blocks(preamble, account, id, tokens);
        let sections = (0..self.sizes.sections)
            .map(|section| {
                let tokens = self.draw_tokens(self.sizes.section_tokens);
                self.extend_blocks(&body, account, id + 1 + section as u64, tokens)
            })
            .collect();
        Document { account, sections }
    }

    fn draw_tokens(&mut self, (least, most): (u32, u32)) -> u32 {
        self.rng.random_range(least..=most)
    }

    /// Appends the full blocks of a text to a prefix.
    fn extend_blocks(
        &self,
        prefix: &[BlockHash],
        account: usize,
        text_id: u64,
        tokens: u32,
    ) -> Vec<BlockHash> {
        let salt = CacheSalt::of_account(&name_account(account));
        let mut blocks = prefix.to_vec();
        for number in 0..tokens as usize / BLOCK_TOKENS {
            let text = (self.text_seed ^ text_id, number as u64);
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&text.0.to_le_bytes());
            bytes[8..].copy_from_slice(&text.1.to_le_bytes());
            let parent = blocks.last().copied();
            blocks.push(BlockHash::of_block(parent, Some(salt), &bytes));
        }
        blocks
    }

    fn draw(mut self) -> Vec<TracedRequest> {
        let mut requests = Vec::new();
        let mut at = MonotonicTime::ZERO;
        let end = MonotonicTime::ZERO + self.sizes.duration;
        let span = fault_span(self.sizes);
        let mut next_drift = MonotonicTime::ZERO + self.sizes.drift_every;
        let mut has_shifted = false;
        loop {
            let in_fault = span.contains(&at);
            let is_noisy = in_fault && self.fault == Fault::NoisyAccount;
            let noisy_share = self.sizes.account_shares[NOISY_ACCOUNT];
            let noise = if is_noisy {
                (NOISE_FACTOR - 1.0) * noisy_share
            } else {
                0.0
            };
            let rate = self.sizes.requests_per_second * (1.0 + noise);
            at = at + self.draw_gap(rate);
            if at >= end {
                return requests;
            }
            if at >= next_drift {
                self.drift();
                next_drift = next_drift + self.sizes.drift_every;
            }
            if in_fault && self.fault == Fault::HotShift && !has_shifted {
                self.shift_all();
                has_shifted = true;
            }
            let account = self.draw_account(noise);
            let is_hot = has_shifted && self.rng.random_bool(HOT_SHARE);
            requests.push(self.draw_request(at, account, is_hot));
        }
    }

    fn draw_gap(&mut self, rate: f64) -> Duration {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-draw.ln() / rate)
    }

    fn draw_account(&mut self, noise: f64) -> usize {
        let mut draw = self.rng.random_range(0.0..1.0 + noise);
        for (account, share) in self.sizes.account_shares.iter().enumerate() {
            let extra = if account == NOISY_ACCOUNT { noise } else { 0.0 };
            draw -= share + extra;
            if draw < 0.0 {
                return account;
            }
        }
        0
    }

    /// Swaps the popularity of some documents.
    fn drift(&mut self) {
        for ranked in &mut self.ranked {
            for _ in 0..ranked.len().div_ceil(DRIFTING_SHARE) {
                let first = self.rng.random_range(0..ranked.len());
                let second = self.rng.random_range(0..ranked.len());
                ranked.swap(first, second);
            }
        }
    }

    fn shift_all(&mut self) {
        for ranked in &mut self.ranked {
            ranked.reverse();
        }
    }

    fn draw_request(&mut self, at: MonotonicTime, account: usize, is_hot: bool) -> TracedRequest {
        let rank = if is_hot { 0 } else { self.draw_rank(account) };
        let account = if is_hot { 0 } else { account };
        let document = self.ranked[account][rank];
        let section = self.rng.random_range(0..self.sizes.sections);
        let own = self.draw_tokens(self.sizes.own_tokens);
        let output_tokens = self.draw_tokens(self.sizes.output_tokens);
        self.next_own += 1;
        let document = &self.documents[document];
        let shared = &document.sections[section];
        let blocks = self.extend_blocks(shared, document.account, self.next_own, own);
        let tokens = shared.len() * BLOCK_TOKENS + own as usize;
        TracedRequest {
            at,
            account,
            entry_draw: self.rng.random_range(0..usize::MAX),
            prefix: PromptPrefix::of_blocks(tokens as u32, blocks.iter().copied()),
            blocks,
            output_tokens,
        }
    }

    /// Draws a rank with a popularity that falls with a power of the rank.
    fn draw_rank(&mut self, account: usize) -> usize {
        let skew = self.sizes.skew;
        let count = self.ranked[account].len();
        let weight = |rank: usize| (rank as f64 + 1.0).powf(-skew);
        let total: f64 = (0..count).map(weight).sum();
        let mut draw = self.rng.random_range(0.0..total);
        for rank in 0..count {
            draw -= weight(rank);
            if draw < 0.0 {
                return rank;
            }
        }
        0
    }
}

/// Returns the name of an account.
pub fn name_account(account: usize) -> AccountName {
    AccountName::from(format!("account-{account}").as_str())
}
