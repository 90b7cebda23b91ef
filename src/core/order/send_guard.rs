//! Decides when an order may be sent to a server, so that no outdated order
//! takes effect after it.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Share of a lease that is used; the rest allows for clock drift.
const USABLE_LEASE_SHARE: f64 = 0.9;

/// Decides when an order, such as to load weights, may be sent to a server, so
/// that no outdated order takes effect after it. Its caller waits for the
/// response to each order before it sends the next. A server that checks
/// fencing tokens refuses outdated orders itself. For one that ignores them,
/// the guard waits until an order of an earlier agent, or one whose response
/// was lost, can no longer take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendGuard {
    server_checks_fencing: bool,
    /// Time after sending in which an order may still take effect.
    max_order_time: Duration,
    /// Time until which an earlier order may still take effect.
    in_flight_until: MonotonicTime,
    lease_valid_until: MonotonicTime,
}

impl SendGuard {
    /// Creates the guard of an agent that starts now and holds no lease yet.
    pub fn new(server_checks_fencing: bool, max_order_time: Duration, now: MonotonicTime) -> Self {
        Self {
            server_checks_fencing,
            max_order_time,
            in_flight_until: if server_checks_fencing {
                now
            } else {
                now + max_order_time
            },
            lease_valid_until: now,
        }
    }

    /// Records that the lease, requested at `requested_at`, was granted or kept
    /// alive for `ttl`. A tenth of that time is left unused, because clocks
    /// drift. `was_holder` tells whether this agent held the lease before.
    /// Otherwise an order of the earlier holder may be in flight; it is assumed
    /// to have been sent before `requested_at`, as a holder stops sending
    /// before its lease ends.
    pub fn record_lease(&mut self, requested_at: MonotonicTime, ttl: Duration, was_holder: bool) {
        if !was_holder && !self.server_checks_fencing {
            self.in_flight_until = self.in_flight_until.max(requested_at + self.max_order_time);
        }
        self.lease_valid_until = requested_at + ttl.mul_f64(USABLE_LEASE_SHARE);
    }

    /// Records that an order, sent at or before `now`, got no response.
    pub fn record_lost_answer(&mut self, now: MonotonicTime) {
        if !self.server_checks_fencing {
            self.in_flight_until = self.in_flight_until.max(now + self.max_order_time);
        }
    }

    /// Returns whether an order may be sent now: no earlier order can be in
    /// flight, and the lease has not expired. The lease is meant to last until
    /// the order has taken effect, but that is not checked.
    pub fn may_send(&self, now: MonotonicTime) -> bool {
        now >= self.in_flight_until && now < self.lease_valid_until
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
    fn may_send_unfenced_waits_for_earlier_agent() {
        let mut guard = SendGuard::new(false, SECOND * 3, at(0));
        guard.record_lease(at(0), TTL, true);
        assert!(!guard.may_send(at(2)));
        assert!(guard.may_send(at(3)));
    }

    #[test]
    fn may_send_not_after_lease_expiry() {
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
