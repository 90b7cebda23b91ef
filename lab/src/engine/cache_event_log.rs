//! The cache events of an engine, late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::placement::BlockHash;

use super::CacheChange;

const MAX_LOGGED_EVENTS: usize = 20_000;

/// One event as it is told.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvent {
    /// Number of the event, from 0, without gaps at the engine.
    pub seq: u64,
    /// Blocks that came in.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stored: Vec<BlockHash>,
    /// Block before the first that came in.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub parent: Option<BlockHash>,
    /// Blocks that were evicted.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<BlockHash>,
    /// All blocks went.
    pub cleared: bool,
}

/// Events from a number on.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvents {
    /// Number of the first event that is still known from there on; greater
    /// than the number asked for where events in between are lost.
    pub first: u64,
    /// Number to ask for next.
    pub next: u64,
    /// Events.
    pub events: Vec<CacheEvent>,
}

#[derive(Debug)]
struct LoggedEvent {
    logged_at: MonotonicTime,
    event: CacheEvent,
}

/// The cache events of an engine, late and with gaps.
#[derive(Debug, Default)]
pub struct CacheEventLog {
    lag: Duration,
    next_seq: u64,
    events_to_drop: u64,
    logged_events: VecDeque<LoggedEvent>,
}

impl CacheEventLog {
    /// Creates an empty log that tells events only after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Loses the next `count` events; their numbers are used up.
    pub fn drop_next(&mut self, count: u64) {
        self.events_to_drop += count;
    }

    /// Adds a change.
    pub fn push(&mut self, change: CacheChange, now: MonotonicTime) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.events_to_drop > 0 {
            self.events_to_drop -= 1;
            return;
        }
        let event = make_event(seq, change);
        self.logged_events.push_back(LoggedEvent {
            logged_at: now,
            event,
        });
        if self.logged_events.len() > MAX_LOGGED_EVENTS {
            self.logged_events.pop_front();
        }
    }

    /// Returns the events from number `after` on that may be told by now.
    pub fn read(&self, after: u64, now: MonotonicTime) -> CacheEvents {
        let events: Vec<CacheEvent> = self
            .logged_events
            .iter()
            .filter(|logged| logged.event.seq >= after)
            .take_while(|logged| now.since(logged.logged_at) >= self.lag)
            .map(|logged| logged.event.clone())
            .collect();
        CacheEvents {
            first: events.first().map_or(after, |event| event.seq),
            next: events.last().map_or(after, |event| event.seq + 1),
            events,
        }
    }
}

fn make_event(seq: u64, change: CacheChange) -> CacheEvent {
    let mut event = CacheEvent {
        seq,
        stored: Vec::new(),
        parent: None,
        removed: Vec::new(),
        cleared: false,
    };
    match change {
        CacheChange::Stored { parent, blocks } => {
            event.parent = parent;
            event.stored = blocks;
        }
        CacheChange::Removed(blocks) => event.removed = blocks,
        CacheChange::Cleared => event.cleared = true,
    }
    event
}

#[cfg(test)]
mod tests {
    use super::*;

    const LAG: Duration = Duration::from_millis(100);

    #[test]
    fn read_withholds_events_within_lag() {
        let mut log = CacheEventLog::new(LAG);
        log.push(CacheChange::Cleared, MonotonicTime::ZERO);
        assert!(log.read(0, MonotonicTime::ZERO).events.is_empty());
        let later = log.read(0, MonotonicTime::ZERO + LAG);
        assert_eq!((later.first, later.next), (0, 1));
    }

    #[test]
    fn read_starts_after_dropped_events() {
        let mut log = CacheEventLog::new(Duration::ZERO);
        log.drop_next(2);
        for _ in 0..3 {
            log.push(CacheChange::Cleared, MonotonicTime::ZERO);
        }
        let read = log.read(0, MonotonicTime::ZERO);
        assert_eq!((read.first, read.next), (2, 3));
    }
}
