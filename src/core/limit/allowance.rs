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
pub(super) struct ShareFraction {
    /// Slots in this part.
    pub slots: u16,
    /// Slots in all.
    pub total_slots: u16,
}

impl Allowance {
    /// Returns the burst of a part, in millionths of a token.
    pub(super) fn burst_share(self, fraction: ShareFraction) -> u64 {
        scale_by_fraction(self.burst, 1_000_000, fraction)
    }

    /// Returns what a part gains in a span, in millionths of a token.
    pub(super) fn refill_share(self, fraction: ShareFraction, elapsed_micros: u64) -> u64 {
        scale_by_fraction(self.rate, elapsed_micros, fraction)
    }
}

fn scale_by_fraction(tokens: u64, factor: u64, fraction: ShareFraction) -> u64 {
    let product = u128::from(tokens) * u128::from(factor) * u128::from(fraction.slots);
    u64::try_from(product / u128::from(fraction.total_slots.max(1))).unwrap_or(u64::MAX)
}
