//! When the agent beside an engine changes the engine's weights.

use std::collections::HashMap;
use std::time::Duration;

use super::ModelName;
use super::WantedVersion;
use crate::core::MonotonicTime;
use crate::core::WeightsVersion;

/// Time between the announcement that an engine takes no new calls and the
/// order: entries hear of it within one round trip and their calls arrive.
const CLOSE_LEAD: Duration = Duration::from_millis(60);

/// Longest time after the announcement that calls waiting at the engine put
/// the order off: the order turns them away, and reading a full queue takes
/// about this long.
const MAX_CLOSE: Duration = Duration::from_millis(800);

/// Time after which an order that shows no effect is given again.
const ORDER_RETRY: Duration = Duration::from_millis(500);

/// Groups into which the engines of a fleet are split for a change.
const GROUPS: u64 = 3;

/// Time from the start of one group to that of the next: about what runs take
/// to end, and new weights to load.
const GROUP_INTERVAL: Duration = Duration::from_millis(550);

/// What an engine reports of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineFacts {
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
    Close,
    /// Order the engine to change its weights.
    Order {
        /// The version to load.
        wanted: WantedVersion,
        /// Orders that the engine must have accepted for this one to hold.
        accepted_orders: u64,
    },
    /// Tell entries that the engine takes calls again.
    Open,
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    Closing { since: MonotonicTime },
    Ordered { at: MonotonicTime },
}

/// Brings one engine to the newest weights: waits for the turn of its group,
/// lets entries move their calls elsewhere, orders, and opens again.
#[derive(Debug)]
pub struct Rollout {
    wanted: HashMap<ModelName, (WantedVersion, MonotonicTime)>,
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
    pub fn want(&mut self, wanted: &WantedVersion, now: MonotonicTime) -> bool {
        let known = self.wanted.get(&wanted.model);
        if known.is_some_and(|(known, _)| known.version >= wanted.version) {
            return false;
        }
        self.wanted
            .insert(wanted.model.clone(), (wanted.clone(), now));
        true
    }

    /// Takes over the engine's place among `count` engines.
    pub fn set_turn(&mut self, place: u64, count: u64) {
        self.turn = (place, count.max(1));
    }

    /// Lists the wanted versions.
    pub fn list_wanted(&self) -> Vec<WantedVersion> {
        self.wanted.values().map(|(w, _)| w.clone()).collect()
    }

    /// Tells whether entries may send new calls.
    pub fn is_accepting(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Decides what is to be done now.
    pub fn step(&mut self, facts: &EngineFacts, now: MonotonicTime) -> RolloutStep {
        let due = self.find_due(facts, now);
        match (self.phase, due) {
            (Phase::Open, Some(_)) if !facts.is_busy => {
                self.phase = Phase::Closing { since: now };
                RolloutStep::Close
            }
            (Phase::Closing { since }, Some(wanted)) => {
                let passed = now.since(since);
                let is_empty = facts.waiting == 0 && passed >= CLOSE_LEAD;
                if facts.is_busy || !(is_empty || passed >= MAX_CLOSE) {
                    return RolloutStep::Wait;
                }
                self.phase = Phase::Ordered { at: now };
                RolloutStep::Order {
                    wanted,
                    accepted_orders: facts.accepted_orders,
                }
            }
            (Phase::Ordered { at }, Some(wanted)) => {
                if facts.is_busy || now.since(at) < ORDER_RETRY {
                    return RolloutStep::Wait;
                }
                self.phase = Phase::Ordered { at: now };
                RolloutStep::Order {
                    wanted,
                    accepted_orders: facts.accepted_orders,
                }
            }
            (Phase::Closing { .. } | Phase::Ordered { .. }, None) if !facts.is_busy => {
                self.phase = Phase::Open;
                RolloutStep::Open
            }
            _ => RolloutStep::Wait,
        }
    }

    /// Takes note of how the engine answered an order. One that certainly did
    /// not take effect may be given again at the next step.
    pub fn note_outcome(&mut self, outcome: OrderOutcome, now: MonotonicTime) {
        if outcome == OrderOutcome::Conflict && matches!(self.phase, Phase::Ordered { .. }) {
            self.phase = Phase::Closing { since: now };
        }
    }

    /// Finds a model whose engine is behind and whose group has its turn.
    fn find_due(&self, facts: &EngineFacts, now: MonotonicTime) -> Option<WantedVersion> {
        let (place, count) = self.turn;
        let group = u32::try_from(place * GROUPS / count).unwrap_or(0);
        facts.versions.iter().find_map(|(model, version)| {
            let (wanted, learned_at) = self.wanted.get(model)?;
            let is_behind = *version < wanted.version;
            let has_turn = now >= *learned_at + GROUP_INTERVAL * group;
            (is_behind && has_turn).then(|| wanted.clone())
        })
    }
}

impl Default for Rollout {
    fn default() -> Self {
        Self::new()
    }
}
