//! Balance of one service with what an entry counts for it.

use std::time::Duration;

use super::BalanceInput;
use super::ServiceBalance;
use crate::core::MonotonicTime;

/// Shortest time between two updates, so that a call rarely pays for one.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The same for each server, since an update looks at all of them, and its maximum.
const UPDATE_INTERVAL_PER_SERVER: Duration = Duration::from_micros(250);
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Weight of the latest call in the mean of the bytes of calls.
const BYTES_WEIGHT: f64 = 1.0 / 32.0;

/// Change of the share that is worth a log line.
const LOGGED_CHANGE: f64 = 0.1;

/// Shortest time between two log lines of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Balance of one service, the bytes that its calls move and the calls that left.
#[derive(Debug)]
pub struct ServiceZones {
    balance: ServiceBalance,
    updated_at: Option<MonotonicTime>,
    /// Whether the own zone has servers, but no room at them.
    is_own_full: bool,
    mean_bytes: f64,
    left: u64,
    logged_share: f64,
    logged_at: Option<MonotonicTime>,
}

impl ServiceZones {
    /// Creates the state of a service whose calls stay in `zone`.
    pub fn new(zone: &str) -> Self {
        Self {
            balance: ServiceBalance::new(zone),
            updated_at: None,
            is_own_full: false,
            mean_bytes: 0.0,
            left: 0,
            logged_share: 0.0,
            logged_at: None,
        }
    }

    /// Returns whether the share of a service with so many servers may be computed anew.
    pub fn is_update_due(&self, server_count: usize, now: MonotonicTime) -> bool {
        let count = u32::try_from(server_count).unwrap_or(u32::MAX);
        let interval = UPDATE_INTERVAL_PER_SERVER
            .saturating_mul(count)
            .clamp(UPDATE_INTERVAL, MAX_UPDATE_INTERVAL);
        self.updated_at.is_none_or(|at| now.since(at) >= interval)
    }

    /// Computes the share anew.
    pub fn update(&mut self, input: &BalanceInput, now: MonotonicTime) {
        self.updated_at = Some(now);
        self.balance.update(input, now);
        self.is_own_full = self.balance.is_own_zone_full(input);
    }

    /// Returns the zone that the next call is to leave for. `None` also while the own zone
    /// has room, though the share still falls, and while it has no servers: all others
    /// are equal then.
    pub fn next_zone(&self) -> Option<&str> {
        self.balance.next_zone().filter(|_| self.is_own_full)
    }

    /// Counts a call that was sent and moves `bytes`; `has_left` if to another zone.
    pub fn record_call(&mut self, bytes: u64, has_left: bool) {
        self.mean_bytes += (bytes as f64 - self.mean_bytes) * BYTES_WEIGHT;
        self.left += u64::from(has_left);
        self.balance.choose_zone();
    }

    /// Returns the mean of the bytes that calls move.
    pub fn mean_bytes(&self) -> f64 {
        self.mean_bytes
    }

    /// Returns the share of calls that is to leave.
    pub fn share(&self) -> f64 {
        self.balance.share()
    }

    /// Returns the calls that have left since the last time.
    pub fn take_left(&mut self) -> u64 {
        std::mem::take(&mut self.left)
    }

    /// Returns the share last logged if the present one is to be logged: it differs clearly,
    /// or only one of them is 0.
    pub fn take_logged_change(&mut self, now: MonotonicTime) -> Option<f64> {
        let (share, previous) = (self.share(), self.logged_share);
        let crosses_zero = (share > 0.0) != (previous > 0.0);
        let is_early = self
            .logged_at
            .is_some_and(|at| now.since(at) < LOG_INTERVAL);
        if is_early || !(crosses_zero || (share - previous).abs() > LOGGED_CHANGE) {
            return None;
        }
        self.logged_share = share;
        self.logged_at = Some(now);
        Some(previous)
    }
}
