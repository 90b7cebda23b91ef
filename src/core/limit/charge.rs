//! Tokens charged for one request.

use super::AccountId;

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

/// What a grant gave to a charge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GrantPart {
    /// Number of the grant at this entry.
    pub number: u64,
    /// Millionths of a token.
    pub micros: u64,
}
