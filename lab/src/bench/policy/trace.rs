//! Generates all requests of a run from a seed before the run starts.

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
use super::workload::WorkloadParameters;

/// Account that exceeds its usual traffic under [`Fault::NoisyAccount`].
pub const NOISY_ACCOUNT: usize = 1;

/// Traffic of the noisy account, as a multiple of its usual traffic.
const NOISY_RATE_FACTOR: f64 = 5.0;
/// Share of all requests that go to the hot document after
/// [`Fault::HotShift`].
const HOT_DOCUMENT_SHARE: f64 = 0.25;
/// At each drift an account makes one swap in its popularity order per this many
/// documents.
const DRIFTING_ONE_IN: usize = 10;

/// One request of a run.
#[derive(Debug, Clone)]
pub struct TracedRequest {
    /// Time of arrival at an entry.
    pub at: MonotonicTime,
    /// Index of the client account.
    pub account: usize,
    /// Random number that picks the entry among those that are not lost.
    pub entry_draw: usize,
    /// Chained hashes of all full blocks of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Prefix description of the prompt, which the planner takes.
    pub prefix: PromptPrefix,
    /// Tokens of the response.
    pub output_tokens: u32,
}

impl TracedRequest {
    /// Returns the length of the prompt in tokens.
    pub fn tokens(&self) -> u32 {
        self.prefix.tokens
    }
}

/// Returns the time within which a fault acts: the middle half of the measured
/// time.
pub fn fault_window(parameters: &WorkloadParameters) -> std::ops::Range<MonotonicTime> {
    let measured = parameters.duration - parameters.warm_up;
    let start = MonotonicTime::ZERO + parameters.warm_up + measured / 4;
    start..start + measured / 2
}

/// Generates the requests of a run in the order of their arrival.
pub fn generate_trace(
    parameters: &WorkloadParameters,
    fault: Fault,
    seed: u64,
) -> Vec<TracedRequest> {
    TraceGenerator::new(parameters, fault, seed).draw()
}

struct TraceGenerator<'a> {
    parameters: &'a WorkloadParameters,
    fault: Fault,
    rng: StdRng,
    documents: Vec<Document>,
    /// Indices of the documents of each account, the most popular first.
    documents_by_rank: Vec<Vec<usize>>,
    next_unique_id: u64,
    /// Mixed into the texts so that those of two seeds differ.
    text_seed: u64,
}

struct Document {
    account: usize,
    sections: Vec<Vec<BlockHash>>,
}

impl<'a> TraceGenerator<'a> {
    fn new(parameters: &'a WorkloadParameters, fault: Fault, seed: u64) -> Self {
        let mut source = Self {
            parameters,
            fault,
            rng: StdRng::seed_from_u64(seed),
            documents: Vec::new(),
            documents_by_rank: vec![Vec::new(); parameters.account_shares.len()],
            next_unique_id: 1 << 32,
            text_seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        source.draw_documents();
        source
    }

    fn draw_documents(&mut self) {
        for (account, share) in self.parameters.account_shares.iter().enumerate() {
            let preamble =
                self.extend_blocks(&[], account, 0, self.parameters.preamble_tokens[account]);
            let count = (share * self.parameters.documents as f64).ceil() as usize;
            for _ in 0..count {
                let number = self.documents.len();
                self.documents_by_rank[account].push(number);
                let document = self.draw_document(account, number, &preamble);
                self.documents.push(document);
            }
        }
    }

    fn draw_document(&mut self, account: usize, number: usize, preamble: &[BlockHash]) -> Document {
        let tokens = self.draw_tokens(self.parameters.document_tokens);
        let id = (number as u64 + 1) << 8;
        let body = self.extend_blocks(preamble, account, id, tokens);
        let sections = (0..self.parameters.sections)
            .map(|section| {
                let tokens = self.draw_tokens(self.parameters.section_tokens);
                self.extend_blocks(&body, account, id + 1 + section as u64, tokens)
            })
            .collect();
        Document { account, sections }
    }

    fn draw_tokens(&mut self, (least, most): (u32, u32)) -> u32 {
        self.rng.random_range(least..=most)
    }

    /// Appends the full blocks of a text to a prefix. The same account, text id
    /// and prefix always give the same blocks.
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
        let end = MonotonicTime::ZERO + self.parameters.duration;
        let window = fault_window(self.parameters);
        let mut next_drift_at = MonotonicTime::ZERO + self.parameters.drift_interval;
        let mut has_shifted = false;
        loop {
            let is_in_fault = window.contains(&at);
            let is_noisy = is_in_fault && self.fault == Fault::NoisyAccount;
            let noisy_share = self.parameters.account_shares[NOISY_ACCOUNT];
            let extra_rate_share = if is_noisy {
                (NOISY_RATE_FACTOR - 1.0) * noisy_share
            } else {
                0.0
            };
            let rate = self.parameters.requests_per_second * (1.0 + extra_rate_share);
            at = at + self.draw_gap(rate);
            if at >= end {
                return requests;
            }
            if at >= next_drift_at {
                self.drift_popularity();
                next_drift_at = next_drift_at + self.parameters.drift_interval;
            }
            if is_in_fault && self.fault == Fault::HotShift && !has_shifted {
                self.reverse_popularity();
                has_shifted = true;
            }
            let account = self.draw_account(extra_rate_share);
            let is_hot = has_shifted && self.rng.random_bool(HOT_DOCUMENT_SHARE);
            requests.push(self.draw_request(at, account, is_hot));
        }
    }

    fn draw_gap(&mut self, rate: f64) -> Duration {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-draw.ln() / rate)
    }

    fn draw_account(&mut self, extra_rate_share: f64) -> usize {
        let mut draw = self.rng.random_range(0.0..1.0 + extra_rate_share);
        for (account, share) in self.parameters.account_shares.iter().enumerate() {
            let extra = if account == NOISY_ACCOUNT {
                extra_rate_share
            } else {
                0.0
            };
            draw -= share + extra;
            if draw < 0.0 {
                return account;
            }
        }
        0
    }

    /// Swaps the popularity of some pairs of documents of each account.
    fn drift_popularity(&mut self) {
        for documents_by_rank in &mut self.documents_by_rank {
            for _ in 0..documents_by_rank.len().div_ceil(DRIFTING_ONE_IN) {
                let first = self.rng.random_range(0..documents_by_rank.len());
                let second = self.rng.random_range(0..documents_by_rank.len());
                documents_by_rank.swap(first, second);
            }
        }
    }

    fn reverse_popularity(&mut self) {
        for documents_by_rank in &mut self.documents_by_rank {
            documents_by_rank.reverse();
        }
    }

    fn draw_request(&mut self, at: MonotonicTime, account: usize, is_hot: bool) -> TracedRequest {
        let rank = if is_hot { 0 } else { self.draw_rank(account) };
        let account = if is_hot { 0 } else { account };
        let document = self.documents_by_rank[account][rank];
        let section = self.rng.random_range(0..self.parameters.sections);
        let own = self.draw_tokens(self.parameters.unique_tokens);
        let output_tokens = self.draw_tokens(self.parameters.output_tokens);
        self.next_unique_id += 1;
        let document = &self.documents[document];
        let shared = &document.sections[section];
        let blocks = self.extend_blocks(shared, document.account, self.next_unique_id, own);
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

    /// Draws the rank of a document. Popularity falls with a power of the rank.
    fn draw_rank(&mut self, account: usize) -> usize {
        let exponent = self.parameters.popularity_exponent;
        let count = self.documents_by_rank[account].len();
        let weight = |rank: usize| (rank as f64 + 1.0).powf(-exponent);
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

/// Returns the name of an account, from which its cache salt follows.
pub fn name_account(account: usize) -> AccountName {
    AccountName::from(format!("account-{account}").as_str())
}
