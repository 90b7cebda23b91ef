//! Whether a stream that still sends bytes makes progress.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Longest gap between two events, as a multiple of the longest one so far, that is not
/// seen as a stall.
const MAX_GAP_FACTOR: u32 = 8;

/// Tracks the events of a stream. Comments and parts of events do not count: a server
/// whose work stands still may go on sending them.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventProgress {
    last: Option<LastEvent>,
    longest_gap: Duration,
}

/// The latest event of a stream.
#[derive(Debug, Clone, Copy)]
struct LastEvent {
    at: MonotonicTime,
    /// Time that the call had left then.
    time_left: Duration,
}

impl EventProgress {
    /// Records that an event arrived, with the time that its call has left.
    pub fn record_event(&mut self, now: MonotonicTime, time_left: Duration) {
        if let Some(last) = self.last {
            self.longest_gap = self.longest_gap.max(now.since(last.at));
        }
        self.last = Some(LastEvent { at: now, time_left });
    }

    /// Forgets the events, since the stream goes on at another server.
    pub fn restart(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the stream has stalled: no event came for half of the time that
    /// was left at the latest one, and for several times the longest gap so far. The
    /// other half is left to another server. Before the first event a stream never
    /// counts as stalled, since a long prompt may be computed.
    pub fn is_stalled(&self, now: MonotonicTime) -> bool {
        self.last.is_some_and(|last| {
            let gap = now.since(last.at);
            gap > last.time_left / 2 && gap > self.longest_gap * MAX_GAP_FACTOR
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> MonotonicTime {
        MonotonicTime::from_micros(ms * 1_000)
    }

    /// Guards against slow streams that are cut off, and against stalled ones that are
    /// kept to the end.
    #[test]
    fn is_stalled_slow_and_stopped() {
        let mut progress = EventProgress::default();
        assert!(!progress.is_stalled(at(60_000)));
        progress.record_event(at(0), Duration::from_secs(10));
        assert!(!progress.is_stalled(at(4_000)));
        assert!(progress.is_stalled(at(5_001)));
        progress.record_event(at(1_000), Duration::from_secs(9));
        // Half of the time has passed, but gaps of a second are normal for this stream.
        assert!(!progress.is_stalled(at(8_000)));
        assert!(progress.is_stalled(at(9_001)));
        progress.restart();
        assert!(!progress.is_stalled(at(60_000)));
    }
}
