//! Records of rollouts, kept in the store.

use futures::future::BoxFuture;

use super::PortError;
use crate::core::fleet::ClaimGrant;
use crate::core::fleet::RolloutPhase;
use crate::core::fleet::RolloutRecord;

/// State of a rollout and the revision of its item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRollout {
    /// The state; `None` if the item cannot be decoded.
    pub record: Option<RolloutRecord>,
    /// Revision of the item.
    pub revision: u64,
}

/// Write of the state of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutWrite {
    /// The new state.
    pub record: RolloutRecord,
    /// Revision that the item must still have; 0 for none.
    pub expected_revision: u64,
    /// Revision that the order must still have.
    pub order_revision: u64,
    /// Phase from which the operator's status is written with the state; `None` leaves
    /// the status as it is.
    pub status: Option<RolloutPhase>,
}

/// Reads and writes the state of rollouts, and the status that the operator reads.
pub trait RolloutRecords: Send + Sync {
    /// Reads the state of the rollout of a service; `None` if there is none.
    fn read<'a>(
        &'a self,
        service: &'a str,
    ) -> BoxFuture<'a, Result<Option<StoredRollout>, PortError>>;

    /// Writes the state, and the status with it, in one transaction, if the claim
    /// `held` to `group`, the order and the state still have the expected revisions.
    /// Returns the new revision of the state, or `None` if one of them has changed.
    fn write<'a>(
        &'a self,
        service: &'a str,
        group: &'a str,
        held: ClaimGrant,
        write: &'a RolloutWrite,
    ) -> BoxFuture<'a, Result<Option<u64>, PortError>>;
}
