//! What an entry reports to the leader of a rollout.

use serde::Deserialize;
use serde::Serialize;

use super::BuildCounters;
use super::RolloutPhase;

/// Counters of one run of an entry since the order. All of them are cumulative, so that
/// lost and repeated reports do no harm.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Name of the service.
    pub service: String,
    /// Revision of the order.
    pub revision: u64,
    /// Name of the entry.
    pub entry: String,
    /// Run of the entry.
    pub incarnation: u64,
    /// Number of the report; rises by one with each. A leader ignores one that arrives
    /// after a later one.
    pub number: u64,
    /// Time since the entry saw the order, in milliseconds.
    pub order_age_ms: u64,
    /// Phase in which the entry acts.
    pub phase: RolloutPhase,
    /// Calls that the entry may send to the new build; never more than the last plan
    /// allowed.
    pub allowance: u64,
    /// Calls that it has sent there.
    pub sent: u64,
    /// Calls that it runs at the old servers.
    pub old_running: u32,
    /// Counters of each route with calls.
    pub routes: Vec<RouteReport>,
}

/// Counters of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteReport {
    /// Name of the route.
    pub route: String,
    /// Requests that reached the service by this route.
    pub requests: u64,
    /// Responses of the old build.
    pub old: BuildCounters,
    /// Responses of the new build.
    pub new: BuildCounters,
}

impl RolloutReport {
    /// Returns the requests that reached the service.
    pub fn requests(&self) -> u64 {
        self.routes.iter().map(|route| route.requests).sum()
    }
}
