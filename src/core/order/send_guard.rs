//! When an order may be sent.

use std::time::Duration;

use crate::core::MonotonicTime;

/// When an order may be sent to a server, so that no two are in flight. A
/// server that refuses old fencing numbers sorts them out itself; for one that
/// ignores them, time is waited out in which an order of an earlier agent, or
/// one whose answer was lost, may still take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendGuard {
    is_fenced: bool,
    max_order_time: Duration,
    clear_at: MonotonicTime,
    lease_until: MonotonicTime,
}

impl SendGuard {
    /// Creates the guard of an agent that starts now.
    pub fn new(is_fenced: bool, max_order_time: Duration, now: MonotonicTime) -> Self {
        Self {
            is_fenced,
            max_order_time,
            clear_at: if is_fenced { now } else { now + max_order_time },
            lease_until: now,
        }
    }

    /// Takes note that the lease was granted or kept alive, asked for at
    /// `asked`, for `ttl`; a tenth of it is left unused against drifting
    /// clocks. If another agent held it before, that one's orders may be in
    /// flight.
    pub fn record_lease(&mut self, asked: MonotonicTime, ttl: Duration, was_own: bool) {
        if !was_own && !self.is_fenced {
            self.clear_at = self.clear_at.max(asked + self.max_order_time);
        }
        self.lease_until = asked + ttl.mul_f64(0.9);
    }

    /// Takes note that an order sent at this time got no answer.
    pub fn record_lost_answer(&mut self, now: MonotonicTime) {
        if !self.is_fenced {
            self.clear_at = self.clear_at.max(now + self.max_order_time);
        }
    }

    /// Tells whether an order may be sent now: no earlier one can be in
    /// flight and the lease holds until it must have taken effect.
    pub fn may_send(&self, now: MonotonicTime) -> bool {
        now >= self.clear_at && now < self.lease_until
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);
    const TTL: Duration = Duration::from_secs(10);

    fn at(seconds: u32) -> MonotonicTime {
        MonotonicTime::ZERO + SECOND * seconds
    }

    #[test]
    fn may_send_fenced_at_once() {
        let mut guard = SendGuard::new(true, SECOND * 3, at(0));
        assert!(!guard.may_send(at(0)));
        guard.record_lease(at(0), TTL, true);
        assert!(guard.may_send(at(0)));
    }

    #[test]
    fn may_send_unfenced_after_predecessor() {
        let mut guard = SendGuard::new(false, SECOND * 3, at(0));
        guard.record_lease(at(0), TTL, true);
        assert!(!guard.may_send(at(2)));
        assert!(guard.may_send(at(3)));
    }

    #[test]
    fn may_send_not_after_lease_lapsed() {
        let mut guard = SendGuard::new(false, SECOND * 3, at(0));
        guard.record_lease(at(0), TTL, true);
        assert!(!guard.may_send(at(9)));
        guard.record_lease(at(20), TTL, false);
        assert!(!guard.may_send(at(22)));
        assert!(guard.may_send(at(23)));
    }

    #[test]
    fn may_send_after_lost_answer() {
        let mut guard = SendGuard::new(false, SECOND, at(0));
        guard.record_lease(at(0), TTL, true);
        guard.record_lost_answer(at(2));
        assert!(!guard.may_send(at(2)));
        assert!(guard.may_send(at(3)));
    }
}
