//! How often a store was called.

use serde::Serialize;

/// How often a store was called, by kind. A watch counts once when it begins
/// and for as long as it waits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct StoreCounts {
    /// Reads.
    pub range: u64,
    /// Single writes.
    pub put: u64,
    /// Transactions.
    pub txn: u64,
    /// Deletions.
    pub delete_range: u64,
    /// Grants, renewals and revocations of leases.
    pub lease: u64,
    /// Watches that ever began.
    pub watch: u64,
    /// Watches that wait now.
    pub waiting: u64,
}

impl StoreCounts {
    /// Returns calls of all kinds.
    pub fn total(&self) -> u64 {
        self.range + self.put + self.txn + self.delete_range + self.lease + self.watch
    }
}
