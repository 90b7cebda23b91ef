//! Error of a request that nobody waits for.

use std::fmt;

/// The caller has left, so its request is not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallerLeft;

impl fmt::Display for CallerLeft {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the caller has left")
    }
}

impl std::error::Error for CallerLeft {}
