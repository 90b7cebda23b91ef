//! What a rule allows a client account.

/// What a rule allows a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once after a quiet time.
    pub burst: u64,
}

/// A part of every account's allowance: some slots of all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Portion {
    /// Slots in this part.
    pub slots: u16,
    /// Slots in all.
    pub of: u16,
}

impl Allowance {
    /// Returns the burst of a part, in millionths of a token.
    pub(super) fn burst_of(self, portion: Portion) -> u64 {
        scale(self.burst, 1_000_000, portion)
    }

    /// Returns what a part gains in a span, in millionths of a token.
    pub(super) fn gain_of(self, portion: Portion, micros: u64) -> u64 {
        scale(self.rate, micros, portion)
    }
}

fn scale(tokens: u64, factor: u64, portion: Portion) -> u64 {
    let whole = u128::from(tokens) * u128::from(factor) * u128::from(portion.slots);
    u64::try_from(whole / u128::from(portion.of.max(1))).unwrap_or(u64::MAX)
}
