//! Suspect of one crash.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::CallDigest;
use super::Suspect;
use crate::core::fleet::PartId;

/// Suspect of one crash, as processes tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// Index of a part in the prompt, [`Self::CALL_DEPTH`] for a call: of suspects with
    /// the same evidence, the deepest is the narrowest.
    pub depth: u8,
    /// Time from the first send of a call with the suspect to the server until the
    /// connection broke.
    pub ran: Duration,
    /// A call with the suspect that was at the server.
    pub call: CallDigest,
    /// Whether an event of its stream had arrived: it did not crash the server at once.
    pub was_answered: bool,
}

impl CrashSuspect {
    /// Depth of a call: it holds all parts of its prompt.
    pub const CALL_DEPTH: u8 = u8::MAX;

    /// Lists the suspects of a call that ran for `ran`: the parts that it shares and the
    /// call itself. `was_answered` says whether an event of its stream had arrived.
    pub fn list(
        call: CallDigest,
        parts: &[PartId],
        ran: Duration,
        was_answered: bool,
    ) -> Vec<Self> {
        let depths = 0..Self::CALL_DEPTH;
        let parts = parts.iter().map(|part| Suspect::Part(*part));
        parts
            .zip(depths)
            .chain([(Suspect::Call(call), Self::CALL_DEPTH)])
            .map(|(suspect, depth)| Self {
                suspect,
                depth,
                ran,
                call,
                was_answered,
            })
            .collect()
    }
}
