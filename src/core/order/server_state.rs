//! What a backend server tells about itself.

use serde::Deserialize;

/// What a backend server tells about itself.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ServerState {
    /// Run of the server.
    pub incarnation: u64,
    /// Version of the weights that it serves.
    #[serde(default)]
    pub weights: u64,
    /// Its role.
    #[serde(default)]
    pub role: String,
}
