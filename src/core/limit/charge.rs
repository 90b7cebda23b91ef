//! Tokens charged for an admitted request, and the grant that they came from.

use super::AccountId;
use super::token_bucket::MICROS_PER_TOKEN;

/// Tokens charged for one request at its admission, to be settled once its
/// usage is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// Charged account.
    pub account: AccountId,
    /// Tokens charged for the request, without any debt of earlier ones.
    pub tokens: u64,
    /// What the last grant used contributed; `None` if no grant paid. Only this
    /// part can be refunded.
    pub(super) grant_debit: Option<GrantDebit>,
}

impl Charge {
    /// Returns the charge as it stands once
    /// [`Limiter::settle`](super::Limiter::settle) has applied `used` tokens.
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

/// Part of a charge that one held grant paid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GrantDebit {
    /// Local id of the held grant.
    pub held_grant_id: u64,
    /// Micro-tokens taken from it.
    pub micro_tokens: u64,
}
