//! Requests to other entries that are under way.

use std::collections::BTreeSet;

use super::AccountId;
use super::NodeId;
use crate::core::MonotonicTime;

/// A request for grants that is under way.
#[derive(Debug)]
pub(super) struct PendingGrantRequest {
    /// Entry asked.
    pub to: NodeId,
    /// Accounts for which no grant has come.
    pub accounts: BTreeSet<AccountId>,
    /// End of the grants that may come, counted from before the request left.
    pub expires_at: MonotonicTime,
}

/// A request for loans that is under way.
#[derive(Debug)]
pub(super) struct PendingLoanRequest {
    /// Entry asked.
    pub to: NodeId,
    /// Groups for which no loan has come.
    pub groups: BTreeSet<u16>,
    /// End of the loans that may come, counted from before the request left.
    pub expires_at: MonotonicTime,
}
