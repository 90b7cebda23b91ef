//! Tokens charged for one request.

use super::AccountId;
use super::bucket::MICRO;

/// Tokens charged for one request at its admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// Account that paid.
    pub account: AccountId,
    /// Tokens charged.
    pub tokens: u64,
    /// Grant that gave some of them, with the millionths that it gave.
    pub(super) grant: Option<GrantPart>,
}

impl Charge {
    /// Returns the charge after it has been settled to the tokens used.
    pub fn settled_to(self, used: u64) -> Self {
        let grant = self.grant.map(|part| GrantPart {
            micros: part.micros.min(used.saturating_mul(MICRO)),
            ..part
        });
        Self {
            tokens: used,
            grant,
            ..self
        }
    }
}

/// What a grant gave to a charge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GrantPart {
    /// Number of the grant at this entry.
    pub number: u64,
    /// Millionths of a token.
    pub micros: u64,
}
