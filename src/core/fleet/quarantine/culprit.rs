//! What is found to crash servers.

use super::Suspect;

/// Suspect that explains crashes, and how many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Culprit {
    /// The part or the call.
    pub suspect: Suspect,
    /// Crashes at different moments that it explains.
    pub crashes: usize,
}
