//! Accepted revision of the rules, as it is stored and sent between processes.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Revision;

/// Accepted revision of the rules, as it is stored and sent between processes.
/// Records with equal revision numbers are equal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesRecord {
    /// Number of the revision.
    pub revision: Revision,
    /// Revision that the text was edited from.
    pub parent: Revision,
    /// Random identifier of the acceptance, by which a retry recognises a record
    /// that it has written before.
    pub accept_id: String,
    /// Operator who accepted the revision.
    #[serde(rename = "who")]
    pub accepted_by: String,
    /// Reason that the operator gave.
    #[serde(rename = "why")]
    pub reason: String,
    /// Time of acceptance on the operator's clock, in milliseconds since the
    /// Unix epoch. Only displayed, never compared.
    pub accepted_at_ms: u64,
    /// Text of the rules file.
    pub text: String,
}
