//! Suspect at a server until that crashed.

use super::CallDigest;
use crate::core::MonotonicTime;

/// How a suspect ran at a server until that crashed.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectRun {
    /// Index of a part in the prompt; above all of them for a call.
    pub depth: u8,
    /// When the first call with the suspect was sent.
    pub sent_at: MonotonicTime,
    /// One of these calls.
    pub call: CallDigest,
    /// Whether each of them had got an event of its stream.
    pub was_answered: bool,
}
