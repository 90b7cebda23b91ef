//! Conditions of a transaction.

use bytes::Bytes;

/// Condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(Bytes),
    /// The key exists.
    Present(Bytes),
    /// The key was last written at this store revision.
    ModRevision(Bytes, i64),
}
