//! State of a model engine and the loop that steps it.

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

const MAX_KEPT_GENERATIONS: usize = 4_096;

/// What an engine has done since it was started, over all its runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Generations that began to be computed.
    pub began: u64,
    /// Generations that ended by themselves.
    pub ended: u64,
    /// Generations that were cancelled.
    pub cancelled: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Prompt tokens of generations that began.
    pub prompt_tokens: u64,
    /// Of these, tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed though this engine had computed them before.
    pub recomputed_tokens: u64,
    /// Orders that took effect.
    pub orders: u64,
    /// Orders refused for an old fencing number.
    pub fenced: u64,
}

/// What the parts of one engine share.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: EngineSettings,
    inner: Mutex<Inner>,
    origin: Instant,
}

/// State of one engine.
#[derive(Debug)]
pub struct Inner {
    /// Run of the engine.
    pub incarnation: u64,
    /// Version of the weights.
    pub weights: u64,
    /// Role.
    pub role: String,
    /// Highest fencing number seen.
    pub fencing: Option<u64>,
    /// Faults.
    pub faults: EngineFaults,
    /// Counts.
    pub counts: EngineCounts,
    /// Batching and cache.
    pub model: EngineModel,
    /// Cache events.
    pub events: CacheEventLog,
    generations: HashMap<usize, Generation>,
    by_request: HashMap<String, usize>,
    next_attempt: usize,
    is_stepping: bool,
    computed: HashSet<BlockHash>,
    works: HashMap<usize, Vec<BlockHash>>,
    load: LaggedLoad,
}

/// The load as it was reported last and when.
#[derive(Debug, Default)]
struct LaggedLoad {
    at: Option<MonotonicTime>,
    load: LoadReport,
}

impl Shared {
    /// Creates an engine that has just started.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            inner: Mutex::new(Inner::new(&settings)),
            origin: Instant::now(),
            settings,
        }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time on the engine's clock.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.origin.elapsed()
    }

    /// Takes a request and starts to compute it. Returns its number.
    pub fn submit(self: &Arc<Self>, generation: Generation, work: EngineRequest) -> usize {
        let mut inner = self.lock();
        let attempt = inner.insert(generation, work);
        if !inner.is_stepping {
            inner.is_stepping = true;
            tokio::spawn(step_until_idle(Arc::clone(self)));
        }
        attempt
    }

    /// Cancels a request by its id. Returns whether it was running.
    pub fn cancel(&self, request_id: &str) -> bool {
        let mut inner = self.lock();
        let Some(attempt) = inner.find_attempt(request_id) else {
            return false;
        };
        inner.cancel(attempt)
    }

    /// Loses all state, as a crash does; the next run has another incarnation.
    pub fn crash(&self) {
        let now = self.now();
        let mut inner = self.lock();
        let lost = inner.model.crash();
        for attempt in lost {
            inner.note_cancelled(attempt);
        }
        inner.generations.clear();
        inner.by_request.clear();
        inner.works.clear();
        inner.incarnation += 1;
        inner.fencing = None;
        inner.events = CacheEventLog::new(self.settings.event_lag);
        inner.model.cache_mut().take_changes();
        inner.load = LaggedLoad::default();
        drop(inner);
        log::debug!("lab: Engine crashed at {now:?}.");
    }

    /// Returns the load as of some time ago.
    pub fn read_load(&self) -> LoadReport {
        let now = self.now();
        let mut inner = self.lock();
        let is_due = inner
            .load
            .at
            .is_none_or(|at| now.since(at) >= self.settings.load_lag);
        if is_due {
            inner.load = LaggedLoad {
                at: Some(now),
                load: inner.measure_load(),
            };
        }
        inner.load.load
    }
}

impl Inner {
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
            events: CacheEventLog::new(settings.event_lag),
            generations: HashMap::new(),
            by_request: HashMap::new(),
            next_attempt: 0,
            is_stepping: false,
            computed: HashSet::new(),
            works: HashMap::new(),
            load: LaggedLoad::default(),
        }
    }

    /// Returns a generation by its number.
    pub fn generation(&self, attempt: usize) -> Option<&Generation> {
        self.generations.get(&attempt)
    }

    /// Returns a generation by its number, for change.
    pub fn generation_mut(&mut self, attempt: usize) -> Option<&mut Generation> {
        self.generations.get_mut(&attempt)
    }

    /// Finds the newest generation of a request.
    pub fn find_attempt(&self, request_id: &str) -> Option<usize> {
        self.by_request.get(request_id).copied()
    }

    /// Cancels a generation. Returns whether it was running.
    pub fn cancel(&mut self, attempt: usize) -> bool {
        let was_running = self.model.cancel(attempt);
        if was_running {
            self.note_cancelled(attempt);
        }
        was_running
    }

    /// Moves changes of the cache to the events.
    pub fn publish_changes(&mut self, now: MonotonicTime) {
        for change in self.model.cache_mut().take_changes() {
            self.events.push(change, now);
        }
    }

    fn insert(&mut self, generation: Generation, mut work: EngineRequest) -> usize {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        work.attempt = attempt;
        self.by_request
            .insert(generation.request_id.clone(), attempt);
        self.generations.insert(attempt, generation);
        self.works.insert(attempt, work.blocks.clone());
        self.model.push(work);
        self.forget_old();
        attempt
    }

    /// Forgets the oldest generations that have ended.
    fn forget_old(&mut self) {
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
                self.by_request
                    .retain(|id, attempt| *id != generation.request_id || *attempt != oldest);
            }
        }
    }

    fn note_cancelled(&mut self, attempt: usize) {
        self.counts.cancelled += 1;
        self.works.remove(&attempt);
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
            queued_prompt_tokens: self.model.count_queued_tokens(),
        }
    }

    fn note_outcome(&mut self, outcome: StepOutcome) {
        match outcome {
            StepOutcome::PrefillStarted(attempt, cached) => self.note_began(attempt, cached),
            StepOutcome::FirstToken(attempt) | StepOutcome::Token(attempt) => {
                self.update(attempt, |progress| progress.produced += 1);
            }
            StepOutcome::Ended(attempt) => {
                self.counts.ended += 1;
                self.works.remove(&attempt);
                self.update(attempt, |progress| progress.ended = true);
            }
        }
    }

    fn note_began(&mut self, attempt: usize, cached: u32) {
        self.update(attempt, |progress| progress.cached_tokens = cached);
        let prompt_tokens = self
            .generations
            .get(&attempt)
            .map_or(0, |generation| generation.prompt_tokens);
        self.counts.began += 1;
        self.counts.prompt_tokens += u64::from(prompt_tokens);
        self.counts.cached_tokens += u64::from(cached);
        let blocks = self.works.remove(&attempt).unwrap_or_default();
        let held = cached as usize / BLOCK_TOKENS;
        let computed = &mut self.computed;
        let again = blocks
            .into_iter()
            .skip(held)
            .filter(|block| !computed.insert(*block))
            .count();
        self.counts.recomputed_tokens += (again * BLOCK_TOKENS) as u64;
    }

    fn update(&self, attempt: usize, change: impl FnOnce(&mut super::generation::Progress)) {
        if let Some(generation) = self.generations.get(&attempt) {
            generation.update(change);
        }
    }
}

/// Steps the engine until it has nothing to do.
async fn step_until_idle(shared: Arc<Shared>) {
    let mut due = tokio::time::Instant::now();
    let mut outcomes = Vec::new();
    loop {
        let took = {
            let mut inner = shared.lock();
            if inner.model.is_idle() {
                inner.is_stepping = false;
                return;
            }
            inner.model.step(&mut outcomes)
        };
        due = catch_up(due) + took;
        sleep_until(due).await;
        let now = shared.now();
        let mut inner = shared.lock();
        for outcome in outcomes.drain(..) {
            inner.note_outcome(outcome);
        }
        inner.publish_changes(now);
    }
}

/// Returns when the next step begins: when the last was due, unless the loop
/// has fallen far behind.
fn catch_up(due: tokio::time::Instant) -> tokio::time::Instant {
    let now = tokio::time::Instant::now();
    due.max(now - MAX_BEHIND)
}

const MAX_BEHIND: Duration = Duration::from_millis(20);
