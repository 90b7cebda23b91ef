//! Progress of a call over its attempts.

use crate::core::fleet::BackendKey;
use crate::core::fleet::Build;

/// Progress of a call over its attempts.
#[derive(Debug, Default)]
pub struct CallProgress {
    /// Servers that the call was sent to, including those that did not run it.
    pub tried: Vec<BackendKey>,
    /// Attempts that ran or may have run.
    pub runs: u32,
    /// Build at which the call's stream began; `None` before its first event.
    pub build: Option<Build>,
}
