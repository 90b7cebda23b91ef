//! Rate and burst of an account, and the fraction of them that some slots
//! carry.

/// Rate and burst that the rules give a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Tokens per second.
    pub rate: u64,
    /// Maximum number of tokens available after a time without use.
    pub burst: u64,
}

/// Fraction of every account's allowance: a number of slots out of all slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ShareFraction {
    /// Slots in the fraction.
    pub slots: u16,
    /// Slots in the fleet.
    pub total_slots: u16,
}

impl Allowance {
    /// Returns the fraction's part of the burst, in micro-tokens.
    pub(super) fn burst_share(self, fraction: ShareFraction) -> u64 {
        scale_by_fraction(self.burst, 1_000_000, fraction)
    }

    /// Returns the micro-tokens that the fraction gains in the elapsed
    /// microseconds.
    pub(super) fn refill_share(self, fraction: ShareFraction, elapsed_micros: u64) -> u64 {
        scale_by_fraction(self.rate, elapsed_micros, fraction)
    }
}

/// Returns `tokens * factor * slots / total_slots`, rounded down; saturates at
/// `u64::MAX`.
fn scale_by_fraction(tokens: u64, factor: u64, fraction: ShareFraction) -> u64 {
    let product = u128::from(tokens) * u128::from(factor) * u128::from(fraction.slots);
    u64::try_from(product / u128::from(fraction.total_slots.max(1))).unwrap_or(u64::MAX)
}
