//! What changed by a message on crashed servers.

use super::Suspect;

/// What changed by a message of another process on crashed servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LearnedNews {
    /// What is quarantined by it.
    pub quarantined: Vec<Suspect>,
    /// What is no longer quarantined.
    pub released: Vec<Suspect>,
    /// Whether it told of crashes or suspects that were not known.
    pub has_evidence: bool,
}
