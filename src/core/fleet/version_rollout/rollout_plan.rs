//! What the leader of a rollout tells an entry.

use serde::Deserialize;
use serde::Serialize;

use super::RolloutPhase;

/// What an entry may send to the new build, valid for a second from the time at which
/// the entry sent the report that this answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// Revision of the order.
    pub revision: u64,
    /// Fencing token of the leader.
    pub fence: u64,
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Calls that this run of the entry may send to the new build, since the order.
    pub allowance: u64,
    /// Routes that the new build lacks responses from; their calls go first.
    pub wanted_routes: Vec<String>,
}
