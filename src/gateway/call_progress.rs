//! Progress of a call over its attempts.

use crate::core::MonotonicTime;
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
    /// When the call first asked to be sent; `None` before that or without admission
    /// control.
    pub offered_at: Option<MonotonicTime>,
}
