//! Model of one engine: continuous batching in steps, prefill in chunks, and
//! a prefix cache in limited memory.

use std::collections::VecDeque;
use std::time::Duration;

use teaseldrum::core::placement::BLOCK_TOKENS;
use teaseldrum::core::placement::BlockHash;

use super::block_cache::BlockCache;

const CHUNK_TOKENS: u32 = 512;
const MAX_RUNNING: usize = 96;
const STEP_BASE: Duration = Duration::from_millis(8);
const STEP_PER_RUNNING: Duration = Duration::from_micros(100);
const STEP_PER_PROMPT_TOKEN: Duration = Duration::from_micros(50);

/// Model of one engine.
#[derive(Debug)]
pub struct EngineModel {
    cache: BlockCache,
    waiting: VecDeque<EngineWork>,
    prefilling: Option<Prefill>,
    decoding: Vec<Decode>,
}

/// A request as the engine sees it.
#[derive(Debug, Clone)]
pub struct EngineWork {
    /// Number of the attempt.
    pub attempt: usize,
    /// Full blocks of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Length of the prompt.
    pub tokens: u32,
    /// Length of the answer.
    pub output_tokens: u32,
}

#[derive(Debug)]
struct Prefill {
    work: EngineWork,
    computed: u32,
}

#[derive(Debug)]
struct Decode {
    attempt: usize,
    left: u32,
}

/// What came of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutcome {
    /// The prompt of an attempt began, with so many tokens found in the cache.
    Began(usize, u32),
    /// An attempt gave its first token.
    FirstToken(usize),
    /// An attempt ended.
    Ended(usize),
}

impl EngineModel {
    /// Creates an idle engine.
    pub fn new(cache_blocks: usize) -> Self {
        Self {
            cache: BlockCache::new(cache_blocks),
            waiting: VecDeque::new(),
            prefilling: None,
            decoding: Vec::new(),
        }
    }

    /// Takes a request.
    pub fn push(&mut self, work: EngineWork) {
        self.waiting.push_back(work);
    }

    /// Tells whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.prefilling.is_none() && self.decoding.is_empty()
    }

    /// Returns the requests that run and those that wait.
    pub fn count_requests(&self) -> (usize, usize) {
        let running = self.decoding.len() + usize::from(self.prefilling.is_some());
        (running, self.waiting.len())
    }

    /// Returns the prompt tokens still to be computed; of waiting requests
    /// those that are not cached now.
    pub fn count_queued_tokens(&self) -> u64 {
        let waiting = self.waiting.iter().map(|work| {
            let cached = self.cache.count_prefix(&work.blocks) * BLOCK_TOKENS;
            u64::from(work.tokens).saturating_sub(cached as u64)
        });
        let prefilling = self.prefilling.iter();
        let prefilling =
            prefilling.map(|prefill| u64::from(prefill.work.tokens - prefill.computed));
        waiting.chain(prefilling).sum()
    }

    /// Loses everything and returns the attempts that were lost.
    pub fn crash(&mut self) -> Vec<usize> {
        self.cache.clear();
        let waiting = self.waiting.drain(..).map(|work| work.attempt);
        let prefilling = self.prefilling.take();
        let prefilling = prefilling.into_iter().map(|prefill| prefill.work.attempt);
        let decoding = self.decoding.drain(..).map(|decode| decode.attempt);
        waiting.chain(prefilling).chain(decoding).collect()
    }

    /// Runs one step and returns the time it takes and what came of it.
    pub fn step(&mut self, outcomes: &mut Vec<StepOutcome>) -> Duration {
        let running = self.decoding.len();
        self.decode(outcomes);
        let prompt_tokens = self.prefill(outcomes);
        STEP_BASE + STEP_PER_RUNNING * running as u32 + STEP_PER_PROMPT_TOKEN * prompt_tokens
    }

    fn decode(&mut self, outcomes: &mut Vec<StepOutcome>) {
        self.decoding.retain_mut(|decode| {
            decode.left = decode.left.saturating_sub(1);
            if decode.left == 0 {
                outcomes.push(StepOutcome::Ended(decode.attempt));
            }
            decode.left > 0
        });
    }

    fn prefill(&mut self, outcomes: &mut Vec<StepOutcome>) -> u32 {
        let mut budget = CHUNK_TOKENS;
        while budget > 0 && self.decoding.len() < MAX_RUNNING {
            let Some(mut prefill) = self.prefilling.take().or_else(|| self.begin(outcomes)) else {
                break;
            };
            let chunk = budget.min(prefill.work.tokens - prefill.computed);
            let before = prefill.computed as usize / BLOCK_TOKENS;
            prefill.computed += chunk;
            budget -= chunk;
            let after = prefill.computed as usize / BLOCK_TOKENS;
            let after = after.min(prefill.work.blocks.len());
            self.cache
                .store(&prefill.work.blocks[before.min(after)..after]);
            if prefill.computed < prefill.work.tokens {
                self.prefilling = Some(prefill);
                break;
            }
            outcomes.push(StepOutcome::FirstToken(prefill.work.attempt));
            self.decoding.push(Decode {
                attempt: prefill.work.attempt,
                left: prefill.work.output_tokens,
            });
        }
        CHUNK_TOKENS - budget
    }

    fn begin(&mut self, outcomes: &mut Vec<StepOutcome>) -> Option<Prefill> {
        let work = self.waiting.pop_front()?;
        let held = self.cache.use_prefix(&work.blocks) * BLOCK_TOKENS;
        let last_token = work.tokens.saturating_sub(1);
        let computed = last_token.min(held as u32);
        outcomes.push(StepOutcome::Began(work.attempt, computed));
        Some(Prefill { work, computed })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run(engine: &mut EngineModel, attempt: usize) -> Duration {
        let blocks: Vec<BlockHash> = (0..40).map(BlockHash).collect();
        engine.push(EngineWork {
            attempt,
            blocks,
            tokens: 41 * 64,
            output_tokens: 1,
        });
        let mut outcomes = Vec::new();
        let mut spent = Duration::ZERO;
        while !outcomes.contains(&StepOutcome::FirstToken(attempt)) {
            spent += engine.step(&mut outcomes);
        }
        spent
    }

    #[test]
    fn step_cached_prompt_is_faster() {
        let mut engine = EngineModel::new(100);
        let cold = run(&mut engine, 0);
        let warm = run(&mut engine, 1);
        assert!(warm * 3 < cold);
        engine.crash();
        assert!(run(&mut engine, 2) > warm * 3);
    }
}
