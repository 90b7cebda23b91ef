//! What a process knows of the build at which a stream began.

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::Build;

/// What a process knows of the build at which a stream began.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownOrigin {
    /// Build that was recorded for the stream.
    pub recorded: Option<Build>,
    /// Only build at which any stream of the service can have begun, if that is
    /// certain.
    pub sole: Option<Build>,
}
