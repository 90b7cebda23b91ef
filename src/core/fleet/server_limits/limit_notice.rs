//! Limit of one run of a server, as entries tell each other.

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::RunKey;

/// Limit of one run, as an entry knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Run of the server.
    pub run: RunKey,
    /// Calls that it takes from all entries together, in thousandths a second; `None`
    /// if it names no limit any more.
    pub millicalls_per_s: Option<u32>,
    /// Milliseconds since a server said so.
    pub age_ms: u32,
}
