//! Gossip message about the rules revision of a process.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Revision;

/// Rules revision of the calling process, sent with
/// [`Peer::exchange_revision`](super::Peer::exchange_revision).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionNotice {
    /// Revision in force in the calling process.
    pub revision: Revision,
    /// Peer address from which its rules can be fetched; `None` before it
    /// listens.
    pub peer: Option<SocketAddr>,
}
