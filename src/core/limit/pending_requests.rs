//! Requests to other entries that await an answer.

use std::collections::BTreeSet;

use super::AccountId;
use super::NodeId;
use crate::core::MonotonicTime;

/// A grant request that awaits an answer.
#[derive(Debug)]
pub(super) struct PendingGrantRequest {
    /// Entry that was asked.
    pub to: NodeId,
    /// Requested accounts for which no grant has arrived.
    pub accounts: BTreeSet<AccountId>,
    /// Expiry of the grants that may arrive, counted from before the request
    /// was sent.
    pub expires_at: MonotonicTime,
}

/// A loan request that awaits an answer.
#[derive(Debug)]
pub(super) struct PendingLoanRequest {
    /// Entry that was asked.
    pub to: NodeId,
    /// Requested groups for which no loan has arrived.
    pub groups: BTreeSet<u16>,
    /// Expiry of the loans that may arrive, counted from before the request was
    /// sent.
    pub expires_at: MonotonicTime,
}
