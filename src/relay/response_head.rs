//! Status and content type of a response, sent before its body.

use serde::Deserialize;
use serde::Serialize;

/// Head of a backend server's response, as the agent passes it to the entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body, `None` if the server sent none.
    pub content_type: Option<String>,
    /// The body follows as [`super::Frame::Event`]s; otherwise, as
    /// [`super::Frame::Body`]s.
    pub streamed: bool,
}
