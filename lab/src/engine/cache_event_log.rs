//! Log of the cache events of an engine. It delays events, and drops some of them
//! on request, as an unreliable event feed does.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::placement::BlockHash;

use super::CacheChange;

const MAX_LOGGED_EVENTS: usize = 20_000;

/// Cache event as `/cache_events` returns it.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvent {
    /// Sequence number, from 0. The engine numbers all events, so a gap shows a
    /// dropped event.
    pub seq: u64,
    /// Stored blocks in prompt order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stored: Vec<BlockHash>,
    /// Block before the first stored one in the prompt.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub parent: Option<BlockHash>,
    /// Blocks that were evicted.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<BlockHash>,
    /// All blocks were dropped.
    pub cleared: bool,
}

/// Events from a sequence number on.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvents {
    /// Sequence number of the first returned event. It is greater than the
    /// requested one if events in between were dropped.
    pub first: u64,
    /// Sequence number to request next.
    pub next: u64,
    /// Events in sequence order.
    pub events: Vec<CacheEvent>,
}

#[derive(Debug)]
struct LoggedEvent {
    logged_at: MonotonicTime,
    event: CacheEvent,
}

/// Log of the cache events of one run of an engine.
#[derive(Debug, Default)]
pub struct CacheEventLog {
    lag: Duration,
    next_seq: u64,
    events_to_drop: u64,
    logged_events: VecDeque<LoggedEvent>,
}

impl CacheEventLog {
    /// Creates an empty log that returns events only once they are `lag` old.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Drops the next `count` events. They still use up their sequence numbers.
    pub fn drop_next(&mut self, count: u64) {
        self.events_to_drop += count;
    }

    /// Logs a change. The log keeps the newest [`MAX_LOGGED_EVENTS`].
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

    /// Returns the events from sequence number `after` on that are at least as
    /// old as the lag.
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
