//! One accepted revision of the rules, as it is stored and passed on.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Revision;

/// One accepted revision of the rules, as it is stored and passed on. Two
/// records with the same revision are the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesRecord {
    /// Number of the revision.
    pub revision: Revision,
    /// Revision that the text was edited from.
    pub parent: Revision,
    /// Drawn once for each acceptance, so that a retry recognises its own.
    pub accept_id: String,
    /// Operator who accepted it.
    #[serde(rename = "who")]
    pub accepted_by: String,
    /// Reason that the operator gave.
    #[serde(rename = "why")]
    pub reason: String,
    /// Time of acceptance on the operator's clock, in milliseconds since the
    /// epoch; shown, never compared.
    pub accepted_at_ms: u64,
    /// Text of the rules file.
    pub text: String,
}
