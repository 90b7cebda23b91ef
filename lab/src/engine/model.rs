//! Model of one engine without input or output: continuous batching in steps,
//! prefill in chunks, and a prefix cache in limited memory.

use std::collections::VecDeque;
use std::time::Duration;

use teaseldrum::core::placement::BLOCK_TOKENS;
use teaseldrum::core::placement::BlockHash;

use super::BlockCache;

const CHUNK_TOKENS: u32 = 512;
const MAX_RUNNING: usize = 96;
const STEP_BASE: Duration = Duration::from_millis(8);
const STEP_PER_RUNNING: Duration = Duration::from_micros(100);
const STEP_PER_PROMPT_TOKEN: Duration = Duration::from_micros(50);

/// Model of one engine.
#[derive(Debug)]
pub struct EngineModel {
    cache: BlockCache,
    waiting: VecDeque<EngineRequest>,
    prefilling: Option<Prefill>,
    decoding: Vec<Decode>,
}

/// A request as the engine sees it.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Number of the attempt.
    pub attempt: usize,
    /// Full blocks of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Length of the answer.
    pub output_tokens: u32,
    /// Urgency; a higher number goes first.
    pub priority: i32,
}

#[derive(Debug)]
struct Prefill {
    work: EngineRequest,
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
    PrefillStarted(usize, u32),
    /// An attempt gave its first token.
    FirstToken(usize),
    /// An attempt gave a further token.
    Token(usize),
    /// An attempt ended; its last token has been given.
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

    /// Takes a request, behind those that are as urgent.
    pub fn push(&mut self, work: EngineRequest) {
        let place = self
            .waiting
            .iter()
            .position(|other| other.priority < work.priority)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(place, work);
    }

    /// Drops a request. Returns whether it was there.
    pub fn cancel(&mut self, attempt: usize) -> bool {
        let before = self.count_all();
        self.waiting.retain(|work| work.attempt != attempt);
        self.decoding.retain(|decode| decode.attempt != attempt);
        let prefills = |prefill: &Prefill| prefill.work.attempt == attempt;
        if self.prefilling.as_ref().is_some_and(prefills) {
            self.prefilling = None;
        }
        self.count_all() < before
    }

    /// Prefix cache.
    pub fn cache(&self) -> &BlockCache {
        &self.cache
    }

    /// Prefix cache, for change.
    pub fn cache_mut(&mut self) -> &mut BlockCache {
        &mut self.cache
    }

    /// Tells whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.count_all() == 0
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
            u64::from(work.prompt_tokens).saturating_sub(cached as u64)
        });
        let prefilling = self.prefilling.iter();
        let prefilling =
            prefilling.map(|prefill| u64::from(prefill.work.prompt_tokens - prefill.computed));
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

    fn count_all(&self) -> usize {
        let (running, waiting) = self.count_requests();
        running + waiting
    }

    fn decode(&mut self, outcomes: &mut Vec<StepOutcome>) {
        self.decoding.retain_mut(|decode| {
            outcomes.push(StepOutcome::Token(decode.attempt));
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
            let chunk = budget.min(prefill.work.prompt_tokens - prefill.computed);
            let before = prefill.computed as usize / BLOCK_TOKENS;
            prefill.computed += chunk;
            budget -= chunk;
            self.store_computed(&prefill, before);
            if prefill.computed < prefill.work.prompt_tokens {
                self.prefilling = Some(prefill);
                break;
            }
            self.begin_decode(&prefill.work, outcomes);
        }
        CHUNK_TOKENS - budget
    }

    fn begin(&mut self, outcomes: &mut Vec<StepOutcome>) -> Option<Prefill> {
        let work = self.waiting.pop_front()?;
        let held = self.cache.use_prefix(&work.blocks) * BLOCK_TOKENS;
        let last_token = work.prompt_tokens.saturating_sub(1);
        let computed = last_token.min(held as u32);
        outcomes.push(StepOutcome::PrefillStarted(work.attempt, computed));
        Some(Prefill { work, computed })
    }

    fn store_computed(&mut self, prefill: &Prefill, before: usize) {
        let blocks = &prefill.work.blocks;
        let after = prefill.computed as usize / BLOCK_TOKENS;
        let after = after.min(blocks.len());
        let before = before.min(after);
        let parent = before.checked_sub(1).map(|index| blocks[index]);
        self.cache.store(parent, &blocks[before..after]);
    }

    fn begin_decode(&mut self, work: &EngineRequest, outcomes: &mut Vec<StepOutcome>) {
        outcomes.push(StepOutcome::FirstToken(work.attempt));
        if work.output_tokens <= 1 {
            outcomes.push(StepOutcome::Ended(work.attempt));
            return;
        }
        self.decoding.push(Decode {
            attempt: work.attempt,
            left: work.output_tokens - 1,
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn make_work(attempt: usize, priority: i32) -> EngineRequest {
        EngineRequest {
            attempt,
            blocks: (0..40).map(BlockHash).collect(),
            prompt_tokens: 41 * 64,
            output_tokens: 3,
            priority,
        }
    }

    fn run(engine: &mut EngineModel, attempt: usize) -> Duration {
        engine.push(make_work(attempt, 0));
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
        assert!(warm * 5 < cold);
        engine.crash();
        assert!(run(&mut engine, 2) > warm * 5);
    }

    #[test]
    fn step_gives_each_token_once() {
        let mut engine = EngineModel::new(100);
        engine.push(make_work(0, 0));
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
    fn push_urgent_goes_first() {
        let mut engine = EngineModel::new(100);
        engine.push(make_work(0, 0));
        engine.push(make_work(1, 5));
        let mut outcomes = Vec::new();
        engine.step(&mut outcomes);
        assert_eq!(outcomes[0], StepOutcome::PrefillStarted(1, 0));
    }

    #[test]
    fn cancel_everywhere() {
        let mut engine = EngineModel::new(100);
        engine.push(make_work(0, 0));
        engine.push(make_work(1, 0));
        engine.step(&mut Vec::new());
        assert!(engine.cancel(0));
        assert!(engine.cancel(1));
        assert!(!engine.cancel(1));
        assert!(engine.is_idle());
    }
}
