//! Version of a backend server's software.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Version of a backend server's software, as opposed to that of its weights.
/// Several may serve side by side in one service, and a stream that began at one
/// cannot go on at another. Cloning is cheap.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Build(Arc<str>);

impl Build {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Build {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
