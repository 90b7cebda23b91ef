//! Conditions of a store transaction.

use bytes::Bytes;

/// Condition of a store transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(Bytes),
    /// The key exists.
    Present(Bytes),
    /// The key was last written at this store revision, that is, it has not changed
    /// since it was read with this [`mod_revision`](super::KeyValue::mod_revision).
    ModRevision(Bytes, i64),
}
