//! Schedule by which a process tells its peers which configuration revision it
//! holds.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Quick rounds of contacts after a new revision.
const PUSH_ROUNDS: u32 = 4;
/// Random peers contacted in each of these rounds, and in each contact while
/// the process holds no revision.
const PEERS_PER_ROUND: usize = 3;
const PUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Mean time between contacts with one random peer at other times.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_millis(2_000);
/// Mean time between contacts while the process holds no revision.
const STARTUP_INTERVAL: Duration = Duration::from_millis(200);

/// Schedule by which a process contacts its peers to tell which configuration
/// revision it holds.
///
/// A new revision is pushed to random peers in a few quick rounds (rumour
/// mongering). Contacts with one random peer at a bounded rate (anti-entropy)
/// reach the peers that the rounds missed. See Demers et al., Epidemic
/// algorithms for replicated database maintenance, 1987.
#[derive(Debug, Clone)]
pub struct GossipSchedule {
    push_rounds_left: u32,
    next_at: MonotonicTime,
}

impl GossipSchedule {
    /// Creates a schedule whose first contact is due immediately.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            push_rounds_left: 0,
            next_at: now,
        }
    }

    /// Starts the push rounds of a new revision, the first of them immediately.
    pub fn announce(&mut self, now: MonotonicTime) {
        self.push_rounds_left = PUSH_ROUNDS;
        self.next_at = now;
    }

    /// Returns when peers are next due to be contacted.
    pub fn next_at(&self) -> MonotonicTime {
        self.next_at
    }

    /// Returns how many peers to contact now, zero if none is due, and schedules
    /// the next contact. While the process holds no revision (`is_starting`),
    /// contacts are frequent. `jitter` is a random number from zero to one.
    pub fn take_due_peer_count(
        &mut self,
        now: MonotonicTime,
        is_starting: bool,
        jitter: f64,
    ) -> usize {
        if now < self.next_at {
            return 0;
        }
        if self.push_rounds_left > 0 {
            self.push_rounds_left -= 1;
            self.next_at = now + PUSH_INTERVAL;
            return PEERS_PER_ROUND;
        }
        let interval = match is_starting {
            true => STARTUP_INTERVAL,
            false => ANTI_ENTROPY_INTERVAL,
        };
        self.next_at = now + interval.mul_f64(0.5 + jitter);
        if is_starting { PEERS_PER_ROUND } else { 1 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns the number of peers contacted in the 60 s after a new revision.
    fn count_peers_contacted(is_starting: bool) -> usize {
        let mut schedule = GossipSchedule::new(MonotonicTime::ZERO);
        schedule.announce(MonotonicTime::ZERO);
        let mut contacted = 0;
        while schedule.next_at().since(MonotonicTime::ZERO) < Duration::from_secs(60) {
            contacted += schedule.take_due_peer_count(schedule.next_at(), is_starting, 0.5);
        }
        contacted
    }

    #[test]
    fn take_due_peer_count_bounded_rate() {
        assert_eq!(count_peers_contacted(false), 4 * 3 + 30);
    }

    #[test]
    fn take_due_peer_count_more_while_starting() {
        assert!(count_peers_contacted(true) > 5 * count_peers_contacted(false));
    }

    #[test]
    fn take_due_peer_count_none_before_due() {
        let mut schedule = GossipSchedule::new(MonotonicTime::ZERO);
        assert_eq!(
            schedule.take_due_peer_count(MonotonicTime::ZERO, false, 0.0),
            1
        );
        assert_eq!(
            schedule.take_due_peer_count(MonotonicTime::ZERO, false, 0.0),
            0
        );
    }
}
