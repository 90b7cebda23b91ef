//! What entries tell each other of the tokens that they have admitted.

use serde::Deserialize;
use serde::Serialize;

use crate::core::AccountName;

/// What one entry has admitted since it started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUsage {
    /// Name of the entry.
    pub name: String,
    /// Differs in each run of the entry.
    pub incarnation: u64,
    /// Number of the entry's last change.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Number of the change after which `admitted` is complete; with zero it
    /// holds every account.
    pub base: u64,
    /// Tokens admitted since that run began, for each account that has
    /// changed.
    pub admitted: Vec<(AccountName, u64)>,
    /// Tokens that each account may use at once, as the entry believes; none
    /// while it believes nothing of its own, or where nobody asked.
    pub levels: Vec<(AccountName, i64)>,
}

/// What one entry needs to hear of another's admissions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageQuery {
    /// What it knows already; none where it knows nothing.
    pub known: Option<UsageCursor>,
    /// Its own levels are guesses.
    pub wants_levels: bool,
}

/// Up to where one entry knows another's admissions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCursor {
    /// Run of the other entry.
    pub incarnation: u64,
    /// Number of the last change that is known.
    #[serde(rename = "number")]
    pub sequence: u64,
}
