//! Counts of the calls to a store.

use serde::Serialize;

/// Counts of the calls to a store, by kind. A watch adds one to `watch` when it
/// starts, and one to `waiting` for as long as it is open.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct StoreCounts {
    /// Range reads.
    pub range: u64,
    /// Puts outside of transactions.
    pub put: u64,
    /// Transactions, each counted once whatever its operations.
    pub txn: u64,
    /// Range deletions outside of transactions.
    pub delete_range: u64,
    /// Grants, keep-alives and revocations of leases.
    pub lease: u64,
    /// Watches started so far.
    pub watch: u64,
    /// Watches that are open now.
    pub waiting: u64,
}

impl StoreCounts {
    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.range + self.put + self.txn + self.delete_range + self.lease + self.watch
    }
}
