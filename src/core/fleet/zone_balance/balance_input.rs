//! What the balance between zones is computed from.

use std::collections::BTreeMap;

/// Capacity and demand of one zone for one service, in calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ZoneLoad {
    /// Calls that the usable servers run at the same time.
    pub capacity: f64,
    /// Calls that callers of the zone keep running, wherever these run: calls a second of
    /// all entries of the zone, times the time that a call occupies a slot.
    pub demand: f64,
}

impl ZoneLoad {
    /// Returns the demand as a part of the capacity; `None` without capacity or with
    /// invalid figures.
    pub fn utilization(&self) -> Option<f64> {
        let is_valid = self.capacity.is_finite()
            && self.capacity > 0.0
            && self.demand.is_finite()
            && self.demand >= 0.0;
        is_valid.then(|| self.demand / self.capacity)
    }
}

/// State of a service as an entry sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct BalanceInput {
    /// Capacity and demand by zone.
    pub zones: BTreeMap<String, ZoneLoad>,
    /// Time that a call occupies a slot, in milliseconds.
    pub slot_hold_ms: f64,
    /// Delay of a call to another zone and the cost of its bytes, in milliseconds.
    pub leave_cost_ms: f64,
}
