//! What processes tell each other about their revisions.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Revision;

/// Revision of the calling process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionNotice {
    /// Revision in force.
    pub revision: Revision,
    /// Address where its rules can be had.
    pub peer: Option<SocketAddr>,
}
