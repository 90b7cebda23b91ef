//! What an entry tells others of the calls that it holds for a service.

use serde::Deserialize;
use serde::Serialize;

/// Work that calls ask for at one entry, for a service where calls wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: String,
    /// Milliseconds of work that calls ask for in a second, by priority.
    pub work_ms: Vec<(u8, u32)>,
}
