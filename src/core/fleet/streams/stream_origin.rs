//! Build at which a stream began, as processes tell each other.

use serde::Deserialize;
use serde::Serialize;

use super::StreamKey;
use crate::core::fleet::Build;

/// Build at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// Service that the stream belongs to.
    pub service: String,
    /// Build of the server that sent its first event.
    pub build: Build,
}
