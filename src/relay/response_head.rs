//! Head of a backend server's answer.

use serde::Deserialize;
use serde::Serialize;

/// Head of a backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body, if the server named one.
    pub content_type: Option<String>,
    /// The body comes as [`super::Frame::Event`]s.
    pub streamed: bool,
}
