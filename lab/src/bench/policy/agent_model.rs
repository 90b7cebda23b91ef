//! Model of the agent in front of one engine: its fair queue and its index of
//! the cached prefixes.

use rand::RngExt;
use rand::rngs::StdRng;
use teaseldrum::core::EngineIncarnation;
use teaseldrum::core::LoadReport;
use teaseldrum::core::WeightsVersion;
use teaseldrum::core::fair_queue::FairQueue;
use teaseldrum::core::fair_queue::SchedulingParams;
use teaseldrum::core::placement::BLOCK_TOKENS;
use teaseldrum::core::placement::CacheIdentity;
use teaseldrum::core::prefix_index::CacheEvent;
use teaseldrum::core::prefix_index::CacheEventBatch;
use teaseldrum::core::prefix_index::PrefixIndex;

use super::trace::TracedRequest;
use crate::engine::CacheChange;

/// Room of the queue, more than a run ever needs.
const MAX_QUEUED: usize = 10_000;

/// Prompts that an agent gives its engine at a time without having seen their
/// first token.
const MAX_CONCURRENT_PREFILLS: usize = 2;

/// An attempt in an agent's queue.
#[derive(Debug, Clone, Copy)]
pub struct QueuedAttempt {
    /// Index of the attempt.
    pub attempt: usize,
    /// Prompt tokens that the engine is expected to compute.
    pub uncached_tokens: u32,
}

/// The agent in front of one engine.
#[derive(Debug)]
pub struct AgentModel {
    queue: FairQueue<usize, QueuedAttempt>,
    index: PrefixIndex,
    next_event_seq: u64,
    active_prefills: usize,
}

impl AgentModel {
    /// Creates the agent of an engine that has just started.
    pub fn new() -> Self {
        let mut index = PrefixIndex::default();
        index.set_identity(make_identity(1));
        Self {
            queue: FairQueue::new(MAX_QUEUED),
            index,
            next_event_seq: 0,
            active_prefills: 0,
        }
    }

    /// Queues an attempt. Its cost is its output and the part of its prompt that
    /// is not in the agent's index of the cache.
    pub fn push(&mut self, attempt: usize, request: &TracedRequest) {
        let cached = self.index.count_cached_prefix(&request.blocks) * BLOCK_TOKENS;
        let uncached_tokens = request.tokens().saturating_sub(cached as u32);
        let cost = SchedulingParams {
            tokens: u64::from(uncached_tokens) + u64::from(request.output_tokens),
            weight: 1,
            priority: 0,
            order: 0,
        };
        let queued = QueuedAttempt {
            attempt,
            uncached_tokens,
        };
        let pushed = self.queue.push(&request.account, cost, queued);
        pushed.expect("queue has room for all requests of a run");
    }

    /// Takes the next attempt from the queue, unless the engine has
    /// [`MAX_CONCURRENT_PREFILLS`] prompts before their first token.
    pub fn pop(&mut self) -> Option<usize> {
        if self.active_prefills >= MAX_CONCURRENT_PREFILLS {
            return None;
        }
        let queued = self.queue.pop()?;
        self.active_prefills += 1;
        Some(queued.attempt)
    }

    /// Records that the engine sent the first token of an attempt.
    pub fn record_first_token(&mut self) {
        self.active_prefills = self.active_prefills.saturating_sub(1);
    }

    /// Adds the queued attempts to the load of the engine.
    pub fn add_load(&self, load: &mut LoadReport) {
        load.queued += self.queue.len() as u32;
        let tokens = self.queue.iter().map(|queued| queued.uncached_tokens);
        load.queued_prompt_tokens += tokens.map(u64::from).sum::<u64>();
    }

    /// Applies cache events of the engine to the index.
    pub fn apply(&mut self, batch: &CacheEventBatch) {
        self.index.apply(batch);
    }

    /// Records that the engine restarted under a new incarnation. Empties the
    /// queue and returns the attempts that were in it.
    pub fn restart(&mut self, incarnation: u64) -> Vec<usize> {
        self.index.set_identity(make_identity(incarnation));
        self.next_event_seq = 0;
        self.active_prefills = 0;
        self.queue.drain().map(|queued| queued.attempt).collect()
    }

    /// Makes a batch of events from changes of the engine's cache. Each event is
    /// left out with probability `loss_rate`.
    pub fn make_event_batch(
        &mut self,
        incarnation: u64,
        changes: Vec<CacheChange>,
        loss_rate: f64,
        rng: &mut StdRng,
    ) -> CacheEventBatch {
        let mut events = Vec::new();
        let first = self.next_event_seq;
        for change in changes {
            let seq = self.next_event_seq;
            self.next_event_seq += 1;
            if loss_rate == 0.0 || !rng.random_bool(loss_rate) {
                events.push(make_event(seq, change));
            }
        }
        CacheEventBatch {
            incarnation: EngineIncarnation(incarnation),
            first_seq: events.first().map_or(first, |event| event.seq),
            next_seq: events.last().map_or(first, |event| event.seq + 1),
            events,
        }
    }
}

fn make_identity(engine: u64) -> CacheIdentity {
    CacheIdentity {
        engine: Some(EngineIncarnation(engine)),
        weights: Some(WeightsVersion(1)),
    }
}

fn make_event(seq: u64, change: CacheChange) -> CacheEvent {
    let mut event = CacheEvent {
        seq,
        ..CacheEvent::default()
    };
    match change {
        CacheChange::Stored { blocks, .. } => event.stored = blocks,
        CacheChange::Removed(blocks) => event.removed = blocks,
        CacheChange::Cleared => event.cleared = true,
    }
    event
}
