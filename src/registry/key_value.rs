//! Key-value pair with its store revisions.

use bytes::Bytes;

/// Key-value pair with its store revisions, as the store returns it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Full key, including its prefix.
    pub key: Bytes,
    /// Value as last written.
    pub value: Bytes,
    /// Store revision at which the key was created.
    pub create_revision: i64,
    /// Store revision at which the value was last written.
    pub mod_revision: i64,
    /// Number of writes since the key was created; 1 for the one that created it.
    pub version: i64,
}
