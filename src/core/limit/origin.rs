//! Sender of a message about shares.

use serde::Deserialize;
use serde::Serialize;

use super::NodeId;
use crate::core::ProcessIncarnation;

/// Sender of a message about shares. A restarted entry has the same node but
/// another run, and none of the promises made to its earlier run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Entry.
    pub node: NodeId,
    /// Run of the entry.
    pub incarnation: ProcessIncarnation,
}
