//! Call that was answered to the end.

use super::Suspect;
use crate::core::MonotonicTime;

/// Call that was answered to the end, with what that clears.
#[derive(Debug)]
pub(super) struct AnsweredCall {
    /// When the answer ended.
    pub at: MonotonicTime,
    /// The call, and the parts that it shares.
    pub suspects: Vec<Suspect>,
}
