//! Simulation of one engine that does no I/O: continuous batching in steps,
//! chunked prefill, and a prefix cache in limited memory.

use std::collections::VecDeque;
use std::time::Duration;

use teaseldrum::core::placement::BLOCK_TOKENS;
use teaseldrum::core::placement::BlockHash;

use super::BlockCache;

const MAX_PREFILL_TOKENS_PER_STEP: u32 = 512;
const MAX_DECODING_REQUESTS: usize = 96;
const STEP_BASE_TIME: Duration = Duration::from_millis(8);
const STEP_TIME_PER_DECODING_REQUEST: Duration = Duration::from_micros(100);
const STEP_TIME_PER_PROMPT_TOKEN: Duration = Duration::from_micros(50);

/// Simulation of one engine. The caller runs [`EngineModel::step`] and lets the time
/// pass that each step takes.
#[derive(Debug)]
pub struct EngineModel {
    cache: BlockCache,
    waiting: VecDeque<EngineRequest>,
    prefilling: Option<Prefill>,
    decoding: Vec<Decode>,
}

/// Request in the queue of an engine.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Number of the attempt, by which outcomes and cancellations refer to it.
    pub attempt: usize,
    /// Hashes of the full blocks of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Length of the output in tokens.
    pub output_tokens: u32,
    /// Priority; a higher number starts first.
    pub priority: i32,
}

#[derive(Debug)]
struct Prefill {
    request: EngineRequest,
    computed_tokens: u32,
}

#[derive(Debug)]
struct Decode {
    attempt: usize,
    remaining_tokens: u32,
}

/// Result of a step for one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutcome {
    /// The prefill of an attempt started, with this number of prompt tokens found
    /// in the cache.
    PrefillStarted(usize, u32),
    /// An attempt generated its first token.
    FirstToken(usize),
    /// An attempt generated a further token.
    Token(usize),
    /// An attempt ended; an earlier outcome reported its last token.
    Ended(usize),
}

impl EngineModel {
    /// Creates an idle engine with room for `cache_blocks` cached blocks.
    pub fn new(cache_blocks: usize) -> Self {
        Self {
            cache: BlockCache::new(cache_blocks),
            waiting: VecDeque::new(),
            prefilling: None,
            decoding: Vec::new(),
        }
    }

    /// Queues a request behind those of the same or a higher priority.
    pub fn push(&mut self, request: EngineRequest) {
        let position = self
            .waiting
            .iter()
            .position(|other| other.priority < request.priority)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(position, request);
    }

    /// Cancels a request. Returns whether it was queued or running.
    pub fn cancel(&mut self, attempt: usize) -> bool {
        let before = self.count_active();
        self.waiting.retain(|request| request.attempt != attempt);
        self.decoding.retain(|decode| decode.attempt != attempt);
        let is_cancelled = |prefill: &Prefill| prefill.request.attempt == attempt;
        if self.prefilling.as_ref().is_some_and(is_cancelled) {
            self.prefilling = None;
        }
        self.count_active() < before
    }

    /// Returns the prefix cache.
    pub fn cache(&self) -> &BlockCache {
        &self.cache
    }

    /// Returns the prefix cache for changes.
    pub fn cache_mut(&mut self) -> &mut BlockCache {
        &mut self.cache
    }

    /// Returns whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.count_active() == 0
    }

    /// Returns the number of running requests, including the one in prefill, and
    /// the number of queued requests.
    pub fn count_requests(&self) -> (usize, usize) {
        let running = self.decoding.len() + usize::from(self.prefilling.is_some());
        (running, self.waiting.len())
    }

    /// Returns the number of prompt tokens still to be computed. For queued
    /// requests it leaves out the tokens that are cached now.
    pub fn count_uncomputed_tokens(&self) -> u64 {
        let waiting = self.waiting.iter().map(|request| {
            let cached = self.cache.count_prefix(&request.blocks) * BLOCK_TOKENS;
            u64::from(request.prompt_tokens).saturating_sub(cached as u64)
        });
        let prefilling = self.prefilling.iter();
        let prefilling = prefilling
            .map(|prefill| u64::from(prefill.request.prompt_tokens - prefill.computed_tokens));
        waiting.chain(prefilling).sum()
    }

    /// Drops all requests and cached blocks, and returns the dropped attempts.
    pub fn crash(&mut self) -> Vec<usize> {
        self.cache.clear();
        let waiting = self.waiting.drain(..).map(|request| request.attempt);
        let prefilling = self.prefilling.take();
        let prefilling = prefilling
            .into_iter()
            .map(|prefill| prefill.request.attempt);
        let decoding = self.decoding.drain(..).map(|decode| decode.attempt);
        waiting.chain(prefilling).chain(decoding).collect()
    }

    /// Runs one step, appends its results to `outcomes` and returns the time that
    /// the step takes.
    pub fn step(&mut self, outcomes: &mut Vec<StepOutcome>) -> Duration {
        let decoding = self.decoding.len();
        self.decode(outcomes);
        let prompt_tokens = self.prefill(outcomes);
        STEP_BASE_TIME
            + STEP_TIME_PER_DECODING_REQUEST * decoding as u32
            + STEP_TIME_PER_PROMPT_TOKEN * prompt_tokens
    }

    fn count_active(&self) -> usize {
        let (running, waiting) = self.count_requests();
        running + waiting
    }

    fn decode(&mut self, outcomes: &mut Vec<StepOutcome>) {
        self.decoding.retain_mut(|decode| {
            outcomes.push(StepOutcome::Token(decode.attempt));
            decode.remaining_tokens = decode.remaining_tokens.saturating_sub(1);
            if decode.remaining_tokens == 0 {
                outcomes.push(StepOutcome::Ended(decode.attempt));
            }
            decode.remaining_tokens > 0
        });
    }

    fn prefill(&mut self, outcomes: &mut Vec<StepOutcome>) -> u32 {
        let mut budget = MAX_PREFILL_TOKENS_PER_STEP;
        while budget > 0 && self.decoding.len() < MAX_DECODING_REQUESTS {
            let Some(mut prefill) = self
                .prefilling
                .take()
                .or_else(|| self.start_prefill(outcomes))
            else {
                break;
            };
            let chunk = budget.min(prefill.request.prompt_tokens - prefill.computed_tokens);
            let blocks_before = prefill.computed_tokens as usize / BLOCK_TOKENS;
            prefill.computed_tokens += chunk;
            budget -= chunk;
            self.store_computed(&prefill, blocks_before);
            if prefill.computed_tokens < prefill.request.prompt_tokens {
                self.prefilling = Some(prefill);
                break;
            }
            self.start_decode(&prefill.request, outcomes);
        }
        MAX_PREFILL_TOKENS_PER_STEP - budget
    }

    fn start_prefill(&mut self, outcomes: &mut Vec<StepOutcome>) -> Option<Prefill> {
        let request = self.waiting.pop_front()?;
        let cached = self.cache.use_prefix(&request.blocks) * BLOCK_TOKENS;
        let max_cached_tokens = request.prompt_tokens.saturating_sub(1);
        let cached_tokens = max_cached_tokens.min(cached as u32);
        outcomes.push(StepOutcome::PrefillStarted(request.attempt, cached_tokens));
        Some(Prefill {
            request,
            computed_tokens: cached_tokens,
        })
    }

    fn store_computed(&mut self, prefill: &Prefill, blocks_before: usize) {
        let blocks = &prefill.request.blocks;
        let blocks_after = prefill.computed_tokens as usize / BLOCK_TOKENS;
        let blocks_after = blocks_after.min(blocks.len());
        let blocks_before = blocks_before.min(blocks_after);
        let parent = blocks_before.checked_sub(1).map(|index| blocks[index]);
        self.cache
            .store(parent, &blocks[blocks_before..blocks_after]);
    }

    fn start_decode(&mut self, request: &EngineRequest, outcomes: &mut Vec<StepOutcome>) {
        outcomes.push(StepOutcome::FirstToken(request.attempt));
        if request.output_tokens <= 1 {
            outcomes.push(StepOutcome::Ended(request.attempt));
            return;
        }
        self.decoding.push(Decode {
            attempt: request.attempt,
            remaining_tokens: request.output_tokens - 1,
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn make_request(attempt: usize, priority: i32) -> EngineRequest {
        EngineRequest {
            attempt,
            blocks: (0..40).map(BlockHash).collect(),
            prompt_tokens: 41 * 64,
            output_tokens: 3,
            priority,
        }
    }

    fn run_to_first_token(engine: &mut EngineModel, attempt: usize) -> Duration {
        engine.push(make_request(attempt, 0));
        let mut outcomes = Vec::new();
        let mut elapsed = Duration::ZERO;
        while !outcomes.contains(&StepOutcome::FirstToken(attempt)) {
            elapsed += engine.step(&mut outcomes);
        }
        elapsed
    }

    #[test]
    fn step_cached_prompt_takes_less_time() {
        let mut engine = EngineModel::new(100);
        let cold = run_to_first_token(&mut engine, 0);
        let warm = run_to_first_token(&mut engine, 1);
        assert!(warm * 5 < cold);
        engine.crash();
        assert!(run_to_first_token(&mut engine, 2) > warm * 5);
    }

    #[test]
    fn step_reports_each_token_once() {
        let mut engine = EngineModel::new(100);
        engine.push(make_request(0, 0));
        let mut outcomes = Vec::new();
        while !engine.is_idle() {
            engine.step(&mut outcomes);
        }
        let tokens = outcomes.iter().filter(|outcome| {
            matches!(outcome, StepOutcome::FirstToken(0) | StepOutcome::Token(0))
        });
        assert_eq!(tokens.count(), 3);
        assert_eq!(outcomes.last(), Some(&StepOutcome::Ended(0)));
    }

    #[test]
    fn push_higher_priority_starts_first() {
        let mut engine = EngineModel::new(100);
        engine.push(make_request(0, 0));
        engine.push(make_request(1, 5));
        let mut outcomes = Vec::new();
        engine.step(&mut outcomes);
        assert_eq!(outcomes[0], StepOutcome::PrefillStarted(1, 0));
    }

    #[test]
    fn cancel_prefilling_and_waiting() {
        let mut engine = EngineModel::new(100);
        engine.push(make_request(0, 0));
        engine.push(make_request(1, 0));
        engine.step(&mut Vec::new());
        assert!(engine.cancel(0));
        assert!(engine.cancel(1));
        assert!(!engine.cancel(1));
        assert!(engine.is_idle());
    }
}
