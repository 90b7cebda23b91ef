//! Messages in which entries exchange the tokens that they have admitted.

use serde::Deserialize;
use serde::Serialize;

use crate::core::AccountName;

/// Tokens that one entry has admitted, in full or since an earlier change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUsage {
    /// Name of the entry.
    pub name: String,
    /// Identifies the run of the entry; each run has another value.
    pub incarnation: u64,
    /// Number of the entry's last change.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Number of the change that `admitted` builds on; 0 if it lists every
    /// account.
    pub base: u64,
    /// Tokens admitted since the start of that run, for each account changed
    /// after `base`.
    pub admitted: Vec<(AccountName, u64)>,
    /// Tokens left in each account's bucket; empty if the levels are estimates
    /// or were not requested.
    pub levels: Vec<(AccountName, i64)>,
}

/// Request for another entry's admissions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageQuery {
    /// Last known state of the other entry, if any.
    pub known: Option<UsageCursor>,
    /// Whether the sender's own levels are estimates and it needs those of the
    /// other entry.
    pub wants_levels: bool,
}

/// Position up to which another entry's admissions are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCursor {
    /// Run of the other entry.
    pub incarnation: u64,
    /// Number of its last known change.
    #[serde(rename = "number")]
    pub sequence: u64,
}
