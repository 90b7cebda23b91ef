//! Events of a run in virtual time.

use std::cmp::Ordering;

use teaseldrum::core::MonotonicTime;
use teaseldrum::core::prefix_index::CacheEventBatch;

use super::chooser::LoadNews;

/// Something that happens during a run.
#[derive(Debug)]
pub enum Event {
    /// A request comes to an entry, or comes back to it for another attempt.
    Arrive(usize),
    /// An attempt comes to the agent of its server.
    Reach(usize),
    /// The current step of a server's engine ends; of an earlier run of the
    /// engine it means nothing.
    StepEnds(usize, u64),
    /// The agent of a server looks at its engine's load.
    Report(usize),
    /// Load of a server comes to an entry, or to all.
    Learn(Option<usize>, LoadNews),
    /// Cache events of an engine come to its agent.
    CacheEvents(usize, CacheEventBatch),
    /// Load of an engine comes to its agent.
    EngineLoad(LoadNews),
    /// An entry learns that an attempt failed.
    Lost(usize),
    /// An entry learns that an attempt ended.
    Ended(usize),
    /// An engine crashes; with it its host, if it does not come back.
    Crash(usize, Option<std::time::Duration>),
    /// An engine comes back empty.
    Return(usize),
    /// An entry restarts.
    RestartEntry(usize),
    /// An entry is lost for good.
    LoseEntry(usize),
}

/// An event and its time.
#[derive(Debug)]
pub struct TimedEvent {
    /// Time of the event.
    pub at: MonotonicTime,
    /// Breaks ties, so that each run is the same.
    pub number: u64,
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
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}
