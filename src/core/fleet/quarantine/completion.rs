//! Last answer to a call with a suspect.

use crate::core::MonotonicTime;

/// Last whole answer to a call with a suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct Completion {
    /// When the answer ended.
    pub at: MonotonicTime,
    /// Whether this process saw it.
    pub is_own: bool,
}
