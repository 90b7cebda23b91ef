//! Where an attempt is to run.

use crate::core::ProcessIncarnation;
use crate::core::ServerName;

/// Where an attempt is to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptTarget {
    /// Backend server.
    pub server: ServerName,
    /// Run of its agent, none if not known yet.
    pub agent: Option<ProcessIncarnation>,
}
