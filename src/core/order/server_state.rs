//! State that a backend server reports.

use serde::Deserialize;

/// State that a backend server reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ServerState {
    /// Incarnation of the server; a restart changes it.
    pub incarnation: u64,
    /// Version of the weights that the server serves; 0 if it reports none.
    #[serde(default)]
    pub weights: u64,
    /// Role of the server; empty if it reports none.
    #[serde(default)]
    pub role: String,
}
