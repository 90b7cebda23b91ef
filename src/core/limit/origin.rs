//! Sender of a message about shares.

use serde::Deserialize;
use serde::Serialize;

use super::NodeId;
use crate::core::ProcessIncarnation;

/// Sender of a message about shares. A restarted entry keeps its node id but
/// has another incarnation, and holds none of the loans and grants given to the
/// earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Sending entry.
    pub node: NodeId,
    /// Process incarnation of the entry.
    #[serde(rename = "run")]
    pub incarnation: ProcessIncarnation,
}
