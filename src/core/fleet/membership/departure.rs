//! A server that has left, as entries tell it one that starts.

use serde::Deserialize;
use serde::Serialize;

use crate::core::ServerName;

/// Server that has left or is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Name of the server.
    pub server: ServerName,
    /// Last write of its record that said it was ready. A store that was restored from a
    /// copy may list this write again.
    pub ready_write: u64,
}
