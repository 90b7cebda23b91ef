//! Events of a simulated run.

use std::cmp::Ordering;

use teaseldrum::core::MonotonicTime;
use teaseldrum::core::prefix_index::CacheEventBatch;

use super::server_selector::LoadUpdate;

/// Event of a simulated run. Requests, attempts, servers and entries are given by
/// their indices.
#[derive(Debug)]
pub enum Event {
    /// A request arrives at an entry.
    RequestArrives(usize),
    /// An attempt arrives at the agent of its server, or at the engine where
    /// there is no agent.
    AttemptArrives(usize),
    /// A step of a server's engine ends. Ignored if the engine has a newer
    /// incarnation than this one.
    EngineStepEnds(usize, u64),
    /// The load of a server's engine is sampled.
    SampleEngineLoad(usize),
    /// The load of a server arrives at one entry, or at all.
    LoadReachesEntry(Option<usize>, LoadUpdate),
    /// Cache events of a server's engine arrive at its agent.
    CacheEventsReachAgent(usize, CacheEventBatch),
    /// The sampled load of an engine arrives at its agent.
    LoadReachesAgent(LoadUpdate),
    /// An entry learns that the server of an attempt was unreachable or crashed.
    AttemptLost(usize),
    /// An entry learns that an attempt ended.
    AttemptEnded(usize),
    /// An engine crashes, and returns after the given time. Without one its host
    /// is lost too.
    EngineCrashes(usize, Option<std::time::Duration>),
    /// An engine returns with an empty cache.
    EngineReturns(usize),
    /// An entry restarts and forgets what it knows of the servers.
    EntryRestarts(usize),
    /// An entry is lost for good.
    EntryLost(usize),
}

/// An event and its time.
#[derive(Debug)]
pub struct TimedEvent {
    /// Time of the event.
    pub at: MonotonicTime,
    /// Order of scheduling, which decides between events of the same time and
    /// makes runs with one seed repeatable.
    pub sequence: u64,
    /// What happens.
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
    /// Orders the earliest event as the greatest, since a binary heap pops the
    /// greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
