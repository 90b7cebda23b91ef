//! Decides when the agent beside an engine orders a change of the engine's
//! weights, and when the engine takes calls again.

use std::collections::HashMap;
use std::time::Duration;

use super::TargetVersion;
use super::WeightsHold;
use super::WeightsHolds;
use super::target_history::TargetHistory;
use super::target_history::VersionStatus;
use crate::core::MonotonicTime;
use crate::core::WeightsVersion;
use crate::core::fleet::ModelName;

/// Minimum time between announcing that the engine takes no new calls and the
/// order: entries learn of it within one round trip, and calls already sent
/// arrive.
const MIN_TIME_BEFORE_ORDER: Duration = Duration::from_millis(60);

/// Maximum time for which queued calls delay the order. The engine would reject
/// them during the change.
const MAX_TIME_BEFORE_ORDER: Duration = Duration::from_millis(400);

/// Time after which an order without effect is repeated.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Number of batches that a change is split into: up to a sixth of the engines
/// can load at full speed together.
const BATCH_COUNT: u64 = 6;

/// Time from when the agent learns of a newer version to the orders of the
/// first batch. Meanwhile entries send long calls elsewhere and many running calls end.
pub(in crate::core::fleet) const FIRST_BATCH_DELAY: Duration = Duration::from_millis(500);

/// Minimum time between the orders of two batches.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Part of the time allowed for a new version in which the last batch is ordered.
/// The rest is left for its load, for orders without answer and for absent agents.
const LAST_BATCH_SHARE: u32 = 3;

/// Part of the time allowed for a new version for which held weights delay the order of the
/// engine's batch. Batches stay apart from each other if none is released.
const MAX_HOLD_SHARE: u32 = 2;

/// Minimum time from a new hold to the order that it would delay.
const MIN_TIME_FROM_HOLD: Duration = Duration::from_millis(300);

/// Time allowed for a new version unless the settings name another.
pub const DEFAULT_VERSION_TIME: Duration = Duration::from_secs(6);

/// Status that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineStatus {
    /// Weights version of each model.
    pub versions: Vec<(ModelName, WeightsVersion)>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Orders accepted since the engine's start.
    pub accepted_orders: u64,
    /// Queued calls.
    pub waiting: u32,
}

/// Action that the agent has to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WeightsChangeStep {
    /// Do nothing.
    Wait,
    /// Announce that the engine takes no new calls.
    StopAccepting,
    /// Order the engine to change its weights.
    Order {
        /// Version to load.
        target: TargetVersion,
        /// What happens to running calls.
        running: RunningCalls,
        /// Precondition: the number of orders that the engine must have
        /// accepted so far.
        accepted_orders: u64,
    },
    /// Announce that the engine takes calls again.
    ResumeAccepting,
}

/// What happens to running calls during a change of weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunningCalls {
    /// They finish before the change.
    Finish,
    /// They continue with the new weights.
    Continue,
}

impl RunningCalls {
    /// Returns the name used in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Finish => "finish",
            Self::Continue => "continue",
        }
    }
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is in progress, or has taken effect already.
    Accepted,
    /// Another order is in progress, or was accepted since the status was read.
    Conflict,
    /// The engine has seen a higher fencing token, so another process has ordered it.
    Fenced,
    /// The engine refused the order for another reason.
    Refused,
    /// There was no answer; the order may still take effect.
    Unknown,
}

impl OrderOutcome {
    /// Returns the name used in logs and metrics.
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
    Accepting,
    Stopping { since: MonotonicTime },
    Ordered { at: MonotonicTime },
}

/// Change of weights that an engine needs.
#[derive(Debug)]
struct DueChange {
    target: TargetVersion,
    /// When the engine's batch is ordered.
    batch_at: MonotonicTime,
    /// When this process may order it.
    order_at: MonotonicTime,
}

/// Brings one engine to the newest weights: waits for its batch, while entries
/// avoid it for calls that would not end in time, stops new calls, gives the
/// order and resumes when the version is loaded.
///
/// Running calls continue with the new weights unless a call holds the old ones; then they
/// finish first.
#[derive(Debug)]
pub struct WeightsChange {
    targets: HashMap<ModelName, TargetHistory>,
    batch_position: (u64, u64),
    phase: Phase,
    /// When this process may give the first order; `None` while it must not.
    earliest_order: Option<MonotonicTime>,
    /// Time within which all engines have to be at a new version.
    version_time: Duration,
    /// Time from the last order of this engine until its version was loaded.
    load_time: Option<Duration>,
    holds: WeightsHolds,
    /// Whether other processes grant holds that this one does not hear of.
    has_other_holders: bool,
    /// Model and version that the engine served when an order was sent that lets calls
    /// continue. It may take effect until the engine serves another version.
    open_order: Option<(ModelName, WeightsVersion)>,
}

impl WeightsChange {
    /// Creates the state of an engine without target versions.
    pub fn new() -> Self {
        Self {
            targets: HashMap::new(),
            batch_position: (0, 1),
            phase: Phase::Accepting,
            earliest_order: Some(MonotonicTime::ZERO),
            version_time: DEFAULT_VERSION_TIME,
            load_time: None,
            holds: WeightsHolds::default(),
            has_other_holders: false,
            open_order: None,
        }
    }

    /// Creates the state of an engine without target versions, of a fleet that has
    /// to be at a new version within `version_time`.
    pub fn within(version_time: Duration) -> Self {
        Self {
            version_time,
            ..Self::new()
        }
    }

    /// Sets that other processes grant holds on the engine's weights, of which this one does
    /// not hear. Running calls always finish.
    pub fn set_other_holders(&mut self) {
        self.has_other_holders = true;
    }

    /// Records that an earlier process may have granted holds on what the engine serves.
    pub fn record_predecessor(&mut self) {
        self.holds.record_predecessor();
    }

    /// Grants a call a hold on the weights that the engine has last reported. Returns false
    /// if the engine serves others, or is soon ordered to.
    pub fn grant_hold(&mut self, hold: &WeightsHold, now: MonotonicTime) -> bool {
        if self.phase != Phase::Accepting || self.open_order.is_some() {
            return false;
        }
        let outdated_since = self.find_outdated_since(&hold.model, hold.version);
        let batch_at = outdated_since.map(|since| self.find_batch_time(since));
        let is_order_near = batch_at.is_some_and(|at| at < now + MIN_TIME_FROM_HOLD);
        !is_order_near && self.holds.add(hold)
    }

    /// Ends a hold on the engine's weights.
    pub fn end_hold(&mut self, id: u64) {
        self.holds.remove(id);
    }

    /// Returns the time between the orders of two batches. It is the engine's own load
    /// time, since loads of several batches at once take longer and leave too few
    /// engines for calls; before the first load, as much as the allowed time permits.
    fn batch_interval(&self) -> Duration {
        let last_order = self.version_time / LAST_BATCH_SHARE;
        let batch_gaps = u32::try_from(BATCH_COUNT - 1).unwrap_or(1);
        let longest = last_order.saturating_sub(FIRST_BATCH_DELAY) / batch_gaps;
        let longest = longest.max(MIN_BATCH_INTERVAL);
        self.load_time
            .map_or(longest, |time| time.clamp(MIN_BATCH_INTERVAL, longest))
    }

    /// Sets when this process may give the first order; `None` if it must not give
    /// any for now.
    pub fn set_earliest_order(&mut self, earliest_order: Option<MonotonicTime>) {
        self.earliest_order = earliest_order;
    }

    /// Records a target version and returns whether it is newer than the known
    /// ones.
    pub fn observe_target(&mut self, target: &TargetVersion, now: MonotonicTime) -> bool {
        let history = self.targets.entry(target.model.clone()).or_default();
        history.add_if_newer(target, Some(now))
    }

    /// Sets the engine's index among `count` engines, which determines its
    /// batch.
    pub fn set_batch_position(&mut self, index: u64, count: u64) {
        self.batch_position = (index, count.max(1));
    }

    /// Returns the newest target version of each model.
    pub fn list_target_versions(&self) -> Vec<TargetVersion> {
        self.targets
            .values()
            .filter_map(|history| history.newest().cloned())
            .collect()
    }

    /// Returns whether entries may send new calls.
    pub fn is_accepting(&self) -> bool {
        self.phase == Phase::Accepting
    }

    /// Returns the time until the order, if the engine's weights are outdated and this
    /// process may order them.
    pub fn time_until_order(&self, status: &EngineStatus, now: MonotonicTime) -> Option<Duration> {
        self.earliest_order?;
        Some(self.find_due_change(status)?.order_at.since(now))
    }

    /// Returns whether the engine has reported an older version than the target.
    pub fn is_outdated(&self, status: &EngineStatus) -> bool {
        self.find_due_change(status).is_some()
    }

    /// Advances the change by the engine's status and returns the next action.
    pub fn advance(&mut self, status: &EngineStatus, now: MonotonicTime) -> WeightsChangeStep {
        let is_permitted = self.earliest_order.is_some();
        self.holds.observe_versions(&status.versions);
        self.open_order
            .take_if(|order| !status.versions.contains(order));
        match (self.phase, self.find_due_change(status)) {
            (Phase::Accepting, Some(_)) if !is_permitted => WeightsChangeStep::Wait,
            // Another process may order the engine now, at a time unknown here.
            (Phase::Stopping { .. } | Phase::Ordered { .. }, Some(_)) if !is_permitted => {
                if status.is_busy {
                    return WeightsChangeStep::Wait;
                }
                self.phase = Phase::Accepting;
                WeightsChangeStep::ResumeAccepting
            }
            (Phase::Accepting, Some(due)) if !status.is_busy => {
                if now + MIN_TIME_BEFORE_ORDER < due.order_at || self.is_delayed(&due, now) {
                    return WeightsChangeStep::Wait;
                }
                self.phase = Phase::Stopping { since: now };
                WeightsChangeStep::StopAccepting
            }
            (Phase::Stopping { since }, Some(due)) => {
                let elapsed = now.since(since);
                let is_drained = status.waiting == 0 && elapsed >= MIN_TIME_BEFORE_ORDER;
                if status.is_busy || !(is_drained || elapsed >= MAX_TIME_BEFORE_ORDER) {
                    return WeightsChangeStep::Wait;
                }
                self.give_order(due.target, status, now)
            }
            (Phase::Ordered { at }, Some(due)) => {
                if status.is_busy || now.since(at) < ORDER_RETRY_INTERVAL {
                    return WeightsChangeStep::Wait;
                }
                self.give_order(due.target, status, now)
            }
            (Phase::Stopping { .. } | Phase::Ordered { .. }, None) if !status.is_busy => {
                if let Phase::Ordered { at } = self.phase {
                    self.load_time = Some(now.since(at));
                }
                self.phase = Phase::Accepting;
                WeightsChangeStep::ResumeAccepting
            }
            _ => WeightsChangeStep::Wait,
        }
    }

    /// Returns whether calls that hold the weights delay the order.
    fn is_delayed(&self, due: &DueChange, now: MonotonicTime) -> bool {
        let model = &due.target.model;
        let has_delaying_holds = !self.must_finish(model) && self.holds.count(model) > 0;
        has_delaying_holds && now < due.batch_at + self.version_time / MAX_HOLD_SHARE
    }

    /// Returns whether running calls have to finish whatever the known holds are.
    fn must_finish(&self, model: &ModelName) -> bool {
        self.has_other_holders || self.holds.has_unknown(model)
    }

    fn give_order(
        &mut self,
        target: TargetVersion,
        status: &EngineStatus,
        now: MonotonicTime,
    ) -> WeightsChangeStep {
        self.phase = Phase::Ordered { at: now };
        let is_held = self.must_finish(&target.model) || self.holds.count(&target.model) > 0;
        let running = if is_held {
            RunningCalls::Finish
        } else {
            let mut served = status.versions.iter();
            let order = served.find(|(model, _)| *model == target.model);
            self.open_order = order.cloned();
            RunningCalls::Continue
        };
        WeightsChangeStep::Order {
            target,
            running,
            accepted_orders: status.accepted_orders,
        }
    }

    /// Records the result of an order. After a conflict, the order certainly
    /// had no effect. It is repeated under the conditions of a first order:
    /// after `MIN_TIME_BEFORE_ORDER` and once no calls are queued, or after
    /// `MAX_TIME_BEFORE_ORDER`.
    pub fn record_outcome(&mut self, outcome: OrderOutcome, now: MonotonicTime) {
        if outcome == OrderOutcome::Conflict && matches!(self.phase, Phase::Ordered { .. }) {
            self.phase = Phase::Stopping { since: now };
        }
    }

    /// Returns the change that is due if a model's weights are outdated.
    fn find_due_change(&self, status: &EngineStatus) -> Option<DueChange> {
        status.versions.iter().find_map(|(model, version)| {
            let since = self.find_outdated_since(model, *version)?;
            let target = self.targets.get(model)?.newest()?.clone();
            let batch_at = self.find_batch_time(since);
            Some(DueChange {
                target,
                batch_at,
                order_at: batch_at.max(self.earliest_order.unwrap_or(MonotonicTime::ZERO)),
            })
        })
    }

    /// Returns when the agent learned of the first version of a model that an engine on
    /// `version` lacks.
    fn find_outdated_since(
        &self,
        model: &ModelName,
        version: WeightsVersion,
    ) -> Option<MonotonicTime> {
        match self.targets.get(model)?.status_of(version) {
            VersionStatus::Current => None,
            // An unknown time counts as the clock's origin, so that the order is
            // normally due at once.
            VersionStatus::Outdated(since) => Some(since.unwrap_or(MonotonicTime::ZERO)),
        }
    }

    /// Returns the time of the order of the engine's batch, for weights that are outdated
    /// since `since`.
    fn find_batch_time(&self, since: MonotonicTime) -> MonotonicTime {
        let (index, count) = self.batch_position;
        let batch = u32::try_from(index * BATCH_COUNT / count).unwrap_or(0);
        since + FIRST_BATCH_DELAY + self.batch_interval() * batch
    }
}

impl Default for WeightsChange {
    fn default() -> Self {
        Self::new()
    }
}
