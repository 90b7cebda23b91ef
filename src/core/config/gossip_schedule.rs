//! When a process tells peers of its revision, and how many.

use std::time::Duration;

use crate::core::MonotonicTime;

const ROUNDS: u32 = 4;
const PEERS_PER_ROUND: usize = 3;
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(2_000);
const STARTING_INTERVAL: Duration = Duration::from_millis(200);

/// When a process tells peers of its revision, and how many of them.
///
/// A new revision is told to random peers in a few quick rounds, as in rumour
/// mongering; exchanges with one random peer at a bounded rate reach those
/// that the rounds missed (Demers et al., Epidemic algorithms for replicated
/// database maintenance, 1987).
#[derive(Debug, Clone)]
pub struct GossipSchedule {
    rounds_left: u32,
    next: MonotonicTime,
}

impl GossipSchedule {
    /// Starts with an exchange at once.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            rounds_left: 0,
            next: now,
        }
    }

    /// Takes note of a new revision in force; it is told at once.
    pub fn announce(&mut self, now: MonotonicTime) {
        self.rounds_left = ROUNDS;
        self.next = now;
    }

    /// Returns when peers are to be told next.
    pub fn next_at(&self) -> MonotonicTime {
        self.next
    }

    /// Returns how many peers to tell now, and plans the time after. While no
    /// revision is held (`is_starting`) it asks often. `jitter` is drawn from
    /// zero to one.
    pub fn take_due_peers(&mut self, now: MonotonicTime, is_starting: bool, jitter: f64) -> usize {
        if now < self.next {
            return 0;
        }
        if self.rounds_left > 0 {
            self.rounds_left -= 1;
            self.next = now + ROUND_INTERVAL;
            return PEERS_PER_ROUND;
        }
        let interval = match is_starting {
            true => STARTING_INTERVAL,
            false => EXCHANGE_INTERVAL,
        };
        self.next = now + interval.mul_f64(0.5 + jitter);
        if is_starting { PEERS_PER_ROUND } else { 1 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns calls in the 60 s after a new revision.
    fn count_calls(is_starting: bool) -> usize {
        let mut spread = GossipSchedule::new(MonotonicTime::ZERO);
        spread.announce(MonotonicTime::ZERO);
        let mut calls = 0;
        while spread.next_at().since(MonotonicTime::ZERO) < Duration::from_secs(60) {
            calls += spread.take_due_peers(spread.next_at(), is_starting, 0.5);
        }
        calls
    }

    #[test]
    fn take_due_peers_bounded_rate() {
        assert_eq!(count_calls(false), 4 * 3 + 30);
    }

    #[test]
    fn take_due_peers_starting_asks_more() {
        assert!(count_calls(true) > 5 * count_calls(false));
    }

    #[test]
    fn take_due_peers_before_its_time() {
        let mut spread = GossipSchedule::new(MonotonicTime::ZERO);
        assert_eq!(spread.take_due_peers(MonotonicTime::ZERO, false, 0.0), 1);
        assert_eq!(spread.take_due_peers(MonotonicTime::ZERO, false, 0.0), 0);
    }
}
