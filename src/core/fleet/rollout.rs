//! When the agent beside an engine changes the engine's weights.

use std::collections::HashMap;
use std::time::Duration;

use super::ModelName;
use super::TargetVersion;
use super::target_history::Standing;
use super::target_history::TargetHistory;
use crate::core::MonotonicTime;
use crate::core::WeightsVersion;

/// Time between the announcement that an engine takes no new calls and the
/// order: entries hear of it within one round trip and their calls arrive.
const CLOSE_LEAD: Duration = Duration::from_millis(60);

/// Longest time for which calls that wait at the engine put the order off: it
/// would turn them away.
const MAX_CLOSE: Duration = Duration::from_millis(400);

/// Time after which an order that shows no effect is given again.
const ORDER_RETRY: Duration = Duration::from_millis(500);

/// Batches into which the engines of a fleet are split for a change. The
/// deployments let a sixth of their engines load at full speed.
const BATCHES: u64 = 6;

/// Time from a version's naming to the orders of the first batch: entries
/// send long calls elsewhere meanwhile, and many that run come to an end.
const FIRST_BATCH: Duration = Duration::from_millis(500);

/// Time from the orders of one batch to those of the next: about what new
/// weights take to load.
const BATCH_INTERVAL: Duration = Duration::from_millis(300);

/// What an engine reports of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineStatus {
    /// Weights version of each model.
    pub versions: Vec<(ModelName, WeightsVersion)>,
    /// An order is being carried out.
    pub is_busy: bool,
    /// Orders accepted since the engine's start.
    pub accepted_orders: u64,
    /// Calls that wait.
    pub waiting: u32,
}

/// What is to be done now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutStep {
    /// Nothing.
    Wait,
    /// Tell entries to send no new calls.
    StopAccepting,
    /// Order the engine to change its weights.
    Order {
        /// The version to load.
        target: TargetVersion,
        /// What becomes of calls that run.
        running: RunningCalls,
        /// Orders that the engine must have accepted for this one to hold.
        accepted_orders: u64,
    },
    /// Tell entries that the engine takes calls again.
    ResumeAccepting,
}

/// What becomes of calls that run while weights change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunningCalls {
    /// The engine waits for their end.
    Finish,
    /// They go on under the new weights.
    Continue,
}

/// How the engine answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out, or holds already.
    Accepted,
    /// Another order is in progress or was accepted meanwhile.
    Conflict,
    /// A higher fencing number has been used.
    Fenced,
    /// The engine refuses it for another reason.
    Refused,
    /// No answer; it may be carried out later.
    Unknown,
}

impl OrderOutcome {
    /// Returns the outcome's name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    Closing { since: MonotonicTime },
    Ordered { at: MonotonicTime },
}

/// Brings one engine to the newest weights: waits for the turn of its batch,
/// while entries send elsewhere what would not end in time, closes the engine
/// for a moment, orders, and opens it again.
#[derive(Debug)]
pub struct Rollout {
    wanted: HashMap<ModelName, TargetHistory>,
    turn: (u64, u64),
    phase: Phase,
}

impl Rollout {
    /// Creates the state of an engine of which no version is wanted.
    pub fn new() -> Self {
        Self {
            wanted: HashMap::new(),
            turn: (0, 1),
            phase: Phase::Open,
        }
    }

    /// Takes note of a wanted version; true if it is newer than what is known.
    pub fn observe_target(&mut self, wanted: &TargetVersion, now: MonotonicTime) -> bool {
        let history = self.wanted.entry(wanted.model.clone()).or_default();
        history.note(wanted, Some(now))
    }

    /// Takes over the engine's place among `count` engines.
    pub fn set_batch_position(&mut self, place: u64, count: u64) {
        self.turn = (place, count.max(1));
    }

    /// Lists the wanted versions.
    pub fn list_target_versions(&self) -> Vec<TargetVersion> {
        self.wanted
            .values()
            .filter_map(|history| history.newest().cloned())
            .collect()
    }

    /// Tells whether entries may send new calls.
    pub fn is_accepting(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Returns the time until the engine is ordered to change its weights, if
    /// it is behind.
    pub fn time_until_switch(&self, facts: &EngineStatus, now: MonotonicTime) -> Option<Duration> {
        let (_, order_at) = self.find_behind(facts)?;
        Some(order_at.since(now))
    }

    /// Decides what is to be done now.
    pub fn advance(&mut self, facts: &EngineStatus, now: MonotonicTime) -> RolloutStep {
        match (self.phase, self.find_behind(facts)) {
            (Phase::Open, Some((_, order_at))) if !facts.is_busy => {
                if now + CLOSE_LEAD < order_at {
                    return RolloutStep::Wait;
                }
                self.phase = Phase::Closing { since: now };
                RolloutStep::StopAccepting
            }
            (Phase::Closing { since }, Some((wanted, _))) => {
                let passed = now.since(since);
                let is_empty = facts.waiting == 0 && passed >= CLOSE_LEAD;
                if facts.is_busy || !(is_empty || passed >= MAX_CLOSE) {
                    return RolloutStep::Wait;
                }
                self.order(wanted, facts, now)
            }
            (Phase::Ordered { at }, Some((wanted, _))) => {
                if facts.is_busy || now.since(at) < ORDER_RETRY {
                    return RolloutStep::Wait;
                }
                self.order(wanted, facts, now)
            }
            (Phase::Closing { .. } | Phase::Ordered { .. }, None) if !facts.is_busy => {
                self.phase = Phase::Open;
                RolloutStep::ResumeAccepting
            }
            _ => RolloutStep::Wait,
        }
    }

    fn order(
        &mut self,
        target: TargetVersion,
        facts: &EngineStatus,
        now: MonotonicTime,
    ) -> RolloutStep {
        self.phase = Phase::Ordered { at: now };
        RolloutStep::Order {
            target,
            running: RunningCalls::Continue,
            accepted_orders: facts.accepted_orders,
        }
    }

    /// Takes note of how the engine answered an order. One that certainly did
    /// not take effect may be given again at the next step.
    pub fn record_outcome(&mut self, outcome: OrderOutcome, now: MonotonicTime) {
        if outcome == OrderOutcome::Conflict && matches!(self.phase, Phase::Ordered { .. }) {
            self.phase = Phase::Closing { since: now };
        }
    }

    /// Finds a model whose weights are behind, its newest version and when the
    /// order is due: by the batch of the engine, from the naming of the first
    /// version that it lacks.
    fn find_behind(&self, facts: &EngineStatus) -> Option<(TargetVersion, MonotonicTime)> {
        let (place, count) = self.turn;
        let batch = u32::try_from(place * BATCHES / count).unwrap_or(0);
        facts.versions.iter().find_map(|(model, version)| {
            let history = self.wanted.get(model)?;
            let Standing::Behind(since) = history.standing(*version) else {
                return None;
            };
            let since = since.unwrap_or(MonotonicTime::ZERO);
            let order_at = since + FIRST_BATCH + BATCH_INTERVAL * batch;
            Some((history.newest()?.clone(), order_at))
        })
    }
}

impl Default for Rollout {
    fn default() -> Self {
        Self::new()
    }
}
