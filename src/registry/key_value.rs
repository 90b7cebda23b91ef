//! One key with its value.

use bytes::Bytes;

/// One key with its value, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Key.
    pub key: Bytes,
    /// Value.
    pub value: Bytes,
    /// Store revision at which the key was created.
    pub create_revision: i64,
    /// Store revision at which the value was last written.
    pub mod_revision: i64,
    /// Writes since the key was created, from 1.
    pub version: i64,
}
