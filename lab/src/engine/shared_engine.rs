//! State of a model engine, shared by its requests and the task that steps it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use teaseldrum::core::LoadReport;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::placement::BLOCK_TOKENS;
use teaseldrum::core::placement::BlockHash;
use tokio::time::sleep_until;

use super::EngineFaults;
use super::EngineModel;
use super::EngineRequest;
use super::EngineSettings;
use super::StepOutcome;
use super::cache_event_log::CacheEventLog;
use super::generation::Generation;

/// Number of generations beyond which the oldest ended ones are forgotten. Those
/// can no longer be resumed.
const MAX_KEPT_GENERATIONS: usize = 4_096;

/// Counts of an engine since its start, over all its incarnations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Generations whose prefill started.
    pub began: u64,
    /// Generations that ran to their end.
    pub ended: u64,
    /// Generations that were cancelled or lost in a crash.
    pub cancelled: u64,
    /// Calls to resume a stream, including those for unknown requests.
    pub resumed: u64,
    /// Prompt tokens of the generations in `began`.
    pub prompt_tokens: u64,
    /// Those of `prompt_tokens` that were found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens, in full blocks, that this engine computed although it had
    /// computed them before.
    pub recomputed_tokens: u64,
    /// Orders that took effect.
    pub orders: u64,
    /// Orders refused for a stale fencing token.
    pub fenced: u64,
}

/// Engine as shared by its request handlers and its step task.
#[derive(Debug)]
pub struct SharedEngine {
    /// Settings of the engine.
    pub settings: EngineSettings,
    state: Mutex<EngineState>,
    started_at: Instant,
}

/// Mutable state of an engine, behind the lock of [`SharedEngine`].
#[derive(Debug)]
pub struct EngineState {
    /// Identifies this run of the engine; a crash increments it.
    pub incarnation: u64,
    /// Version of the loaded weights.
    pub weights: u64,
    /// Role, as last set by an order.
    pub role: String,
    /// Highest fencing token seen in this incarnation.
    pub fencing: Option<u64>,
    /// Injected faults.
    pub faults: EngineFaults,
    /// Counts over all incarnations.
    pub counts: EngineCounts,
    /// Model of batching and the prefix cache.
    pub model: EngineModel,
    /// Cache events of this incarnation.
    pub cache_events: CacheEventLog,
    generations: HashMap<usize, Generation>,
    attempts_by_request_id: HashMap<String, usize>,
    next_attempt: usize,
    /// The step task runs.
    is_stepping: bool,
    /// Blocks that this engine has ever computed, for `recomputed_tokens`.
    computed_blocks: HashSet<BlockHash>,
    /// Prompt blocks of attempts whose prefill has not started.
    blocks_before_prefill: HashMap<usize, Vec<BlockHash>>,
    load: LoadSnapshot,
}

/// Load as last measured, and when. `/state` reports it until it is older than
/// the load lag.
#[derive(Debug, Default)]
struct LoadSnapshot {
    measured_at: Option<MonotonicTime>,
    load: LoadReport,
}

impl SharedEngine {
    /// Creates an idle engine with a random incarnation and an empty cache.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            state: Mutex::new(EngineState::new(&settings)),
            started_at: Instant::now(),
            settings,
        }
    }

    /// Locks the state. A panic of another holder is ignored.
    pub fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the engine was started.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.started_at.elapsed()
    }

    /// Queues a request and starts the step task if it is idle. Returns the number
    /// of the attempt.
    pub fn submit(self: &Arc<Self>, generation: Generation, request: EngineRequest) -> usize {
        let mut state = self.lock();
        let attempt = state.insert(generation, request);
        if !state.is_stepping {
            state.is_stepping = true;
            tokio::spawn(step_until_idle(Arc::clone(self)));
        }
        attempt
    }

    /// Cancels the newest attempt of a request. Returns whether it was queued or
    /// running.
    pub fn cancel(&self, request_id: &str) -> bool {
        let mut state = self.lock();
        let Some(attempt) = state.find_attempt(request_id) else {
            return false;
        };
        state.cancel(attempt)
    }

    /// Drops the requests, the cache, the cache events, the fencing token and the
    /// measured load, as a crash does, and increments the incarnation.
    pub fn crash(&self) {
        let now = self.now();
        let mut state = self.lock();
        let lost_attempts = state.model.crash();
        for attempt in lost_attempts {
            state.record_cancellation(attempt);
        }
        state.generations.clear();
        state.attempts_by_request_id.clear();
        state.blocks_before_prefill.clear();
        state.incarnation += 1;
        state.fencing = None;
        state.cache_events = CacheEventLog::new(self.settings.event_lag);
        state.model.cache_mut().take_changes();
        state.load = LoadSnapshot::default();
        drop(state);
        log::debug!("lab: Engine crashed at {now:?}.");
    }

    /// Returns the load, which is younger than the load lag.
    pub fn read_load(&self) -> LoadReport {
        let now = self.now();
        let mut state = self.lock();
        let is_stale = state
            .load
            .measured_at
            .is_none_or(|measured_at| now.since(measured_at) >= self.settings.load_lag);
        if is_stale {
            state.load = LoadSnapshot {
                measured_at: Some(now),
                load: state.measure_load(),
            };
        }
        state.load.load
    }
}

impl EngineState {
    fn new(settings: &EngineSettings) -> Self {
        let mut model = EngineModel::new(settings.cache_blocks);
        model.cache_mut().record_changes();
        Self {
            incarnation: rand::random::<u32>().into(),
            weights: 1,
            role: "mixed".into(),
            fencing: None,
            faults: EngineFaults::default(),
            counts: EngineCounts::default(),
            model,
            cache_events: CacheEventLog::new(settings.event_lag),
            generations: HashMap::new(),
            attempts_by_request_id: HashMap::new(),
            next_attempt: 0,
            is_stepping: false,
            computed_blocks: HashSet::new(),
            blocks_before_prefill: HashMap::new(),
            load: LoadSnapshot::default(),
        }
    }

    /// Returns the generation of an attempt.
    pub fn generation(&self, attempt: usize) -> Option<&Generation> {
        self.generations.get(&attempt)
    }

    /// Returns the generation of an attempt, for changes.
    pub fn generation_mut(&mut self, attempt: usize) -> Option<&mut Generation> {
        self.generations.get_mut(&attempt)
    }

    /// Returns the newest attempt of a request.
    pub fn find_attempt(&self, request_id: &str) -> Option<usize> {
        self.attempts_by_request_id.get(request_id).copied()
    }

    /// Cancels an attempt. Returns whether it was queued or running.
    pub fn cancel(&mut self, attempt: usize) -> bool {
        let was_running = self.model.cancel(attempt);
        if was_running {
            self.record_cancellation(attempt);
        }
        was_running
    }

    /// Logs the changes of the cache as events.
    pub fn publish_cache_changes(&mut self, now: MonotonicTime) {
        for change in self.model.cache_mut().take_changes() {
            self.cache_events.push(change, now);
        }
    }

    fn insert(&mut self, generation: Generation, mut request: EngineRequest) -> usize {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        request.attempt = attempt;
        self.attempts_by_request_id
            .insert(generation.request_id.clone(), attempt);
        self.generations.insert(attempt, generation);
        self.blocks_before_prefill
            .insert(attempt, request.blocks.clone());
        self.model.push(request);
        self.prune_ended_generations();
        attempt
    }

    /// Drops the oldest ended generations beyond [`MAX_KEPT_GENERATIONS`].
    fn prune_ended_generations(&mut self) {
        while self.generations.len() > MAX_KEPT_GENERATIONS {
            let ended = self
                .generations
                .iter()
                .filter(|(_, generation)| generation.progress().ended)
                .map(|(attempt, _)| *attempt)
                .min();
            let Some(oldest) = ended else {
                return;
            };
            if let Some(generation) = self.generations.remove(&oldest) {
                self.attempts_by_request_id
                    .retain(|id, attempt| *id != generation.request_id || *attempt != oldest);
            }
        }
    }

    fn record_cancellation(&mut self, attempt: usize) {
        self.counts.cancelled += 1;
        self.blocks_before_prefill.remove(&attempt);
        if let Some(generation) = self.generations.get(&attempt) {
            generation.update(|progress| {
                progress.ended = true;
                progress.cancelled = true;
            });
        }
    }

    fn measure_load(&self) -> LoadReport {
        let (running, queued) = self.model.count_requests();
        LoadReport {
            running: u32::try_from(running).unwrap_or(u32::MAX),
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            queued_prompt_tokens: self.model.count_uncomputed_tokens(),
        }
    }

    fn apply_outcome(&mut self, outcome: StepOutcome) {
        match outcome {
            StepOutcome::PrefillStarted(attempt, cached_tokens) => {
                self.record_prefill_start(attempt, cached_tokens)
            }
            StepOutcome::FirstToken(attempt) | StepOutcome::Token(attempt) => {
                self.update_progress(attempt, |progress| progress.generated_tokens += 1);
            }
            StepOutcome::Ended(attempt) => {
                self.counts.ended += 1;
                self.blocks_before_prefill.remove(&attempt);
                self.update_progress(attempt, |progress| progress.ended = true);
            }
        }
    }

    fn record_prefill_start(&mut self, attempt: usize, cached_tokens: u32) {
        self.update_progress(attempt, |progress| progress.cached_tokens = cached_tokens);
        let prompt_tokens = self
            .generations
            .get(&attempt)
            .map_or(0, |generation| generation.prompt_tokens);
        self.counts.began += 1;
        self.counts.prompt_tokens += u64::from(prompt_tokens);
        self.counts.cached_tokens += u64::from(cached_tokens);
        let blocks = self
            .blocks_before_prefill
            .remove(&attempt)
            .unwrap_or_default();
        let cached_blocks = cached_tokens as usize / BLOCK_TOKENS;
        let computed_blocks = &mut self.computed_blocks;
        let recomputed_blocks = blocks
            .into_iter()
            .skip(cached_blocks)
            .filter(|block| !computed_blocks.insert(*block))
            .count();
        self.counts.recomputed_tokens += (recomputed_blocks * BLOCK_TOKENS) as u64;
    }

    fn update_progress(
        &self,
        attempt: usize,
        change: impl FnOnce(&mut super::generation::Progress),
    ) {
        if let Some(generation) = self.generations.get(&attempt) {
            generation.update(change);
        }
    }
}

/// Steps the engine until no request is queued or running.
async fn step_until_idle(shared: Arc<SharedEngine>) {
    let mut next_step_at = tokio::time::Instant::now();
    let mut outcomes = Vec::new();
    loop {
        let step_time = {
            let mut state = shared.lock();
            if state.model.is_idle() {
                state.is_stepping = false;
                return;
            }
            state.model.step(&mut outcomes)
        };
        next_step_at = next_step_start(next_step_at) + step_time;
        sleep_until(next_step_at).await;
        let now = shared.now();
        let mut state = shared.lock();
        for outcome in outcomes.drain(..) {
            state.apply_outcome(outcome);
        }
        state.publish_cache_changes(now);
    }
}

/// Returns the start of the next step: the planned end of the last one, or at
/// most [`MAX_SCHEDULE_LAG`] before now, so that a late timer is caught up but a
/// long pause is not.
fn next_step_start(next_step_at: tokio::time::Instant) -> tokio::time::Instant {
    let now = tokio::time::Instant::now();
    next_step_at.max(now - MAX_SCHEDULE_LAG)
}

const MAX_SCHEDULE_LAG: Duration = Duration::from_millis(20);
