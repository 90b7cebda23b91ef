//! Backend server that an attempt is planned for.

use crate::core::ProcessIncarnation;
use crate::core::ServerName;

/// Backend server that an attempt is planned for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptTarget {
    /// Name of the server.
    pub server: ServerName,
    /// Incarnation of its agent; `None` until known.
    pub agent: Option<ProcessIncarnation>,
}
