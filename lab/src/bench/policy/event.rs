//! Events of a run in virtual time.

use std::cmp::Ordering;

use teaseldrum::core::MonotonicTime;
use teaseldrum::core::prefix_index::CacheEventBatch;

use super::server_selector::LoadUpdate;

/// Something that happens during a run.
#[derive(Debug)]
pub enum Event {
    /// A request comes to an entry, or comes back to it for another attempt.
    RequestArrives(usize),
    /// An attempt comes to the agent of its server.
    AttemptArrives(usize),
    /// The current step of a server's engine ends; of an earlier run of the
    /// engine it means nothing.
    EngineStepEnds(usize, u64),
    /// The agent of a server looks at its engine's load.
    SampleEngineLoad(usize),
    /// Load of a server comes to an entry, or to all.
    LoadReachesEntry(Option<usize>, LoadUpdate),
    /// Cache events of an engine come to its agent.
    CacheEventsReachAgent(usize, CacheEventBatch),
    /// Load of an engine comes to its agent.
    LoadReachesAgent(LoadUpdate),
    /// An entry learns that an attempt failed.
    AttemptLost(usize),
    /// An entry learns that an attempt ended.
    AttemptEnded(usize),
    /// An engine crashes; with it its host, if it does not come back.
    EngineCrashes(usize, Option<std::time::Duration>),
    /// An engine comes back empty.
    EngineReturns(usize),
    /// An entry restarts.
    EntryRestarts(usize),
    /// An entry is lost for good.
    EntryLost(usize),
}

/// An event and its time.
#[derive(Debug)]
pub struct TimedEvent {
    /// Time of the event.
    pub at: MonotonicTime,
    /// Breaks ties, so that each run is the same.
    pub sequence: u64,
    /// The event.
    pub event: Event,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    /// The earliest is the greatest, as a binary heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
