//! Order of the operator to move a service to a build.

use std::time::Duration;

use crate::core::fleet::Build;

/// Order to move the traffic of a service to servers of a build.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Build that is to get the traffic.
    pub target: Build,
    /// Time from the write of the order within which the traffic is to move; an order
    /// without one is not started.
    pub duration: Option<Duration>,
    /// Revision of the order's item in the store.
    pub revision: u64,
}

impl RolloutOrder {
    /// Returns whether another order says the same, so that it is the same order,
    /// written again.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target == other.target
            && self.duration == other.duration
    }
}
