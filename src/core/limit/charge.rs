//! Tokens charged for one request.

use super::AccountId;
use super::token_bucket::MICROS_PER_TOKEN;

/// Tokens charged for one request at its admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// Account that paid.
    pub account: AccountId,
    /// Tokens charged.
    pub tokens: u64,
    /// Grant that gave some of them, with the millionths that it gave.
    pub(super) grant_debit: Option<GrantDebit>,
}

impl Charge {
    /// Returns the charge after it has been settled to the tokens used.
    pub fn settled_to(self, used: u64) -> Self {
        let grant_debit = self.grant_debit.map(|debit| GrantDebit {
            micro_tokens: debit
                .micro_tokens
                .min(used.saturating_mul(MICROS_PER_TOKEN)),
            ..debit
        });
        Self {
            tokens: used,
            grant_debit,
            ..self
        }
    }
}

/// What a grant gave to a charge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GrantDebit {
    /// Number of the grant at this entry.
    pub held_grant_id: u64,
    /// Millionths of a token.
    pub micro_tokens: u64,
}
