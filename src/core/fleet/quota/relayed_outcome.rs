//! What became of usage that a relay passed on.

/// What became of usage that a relay passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayedOutcome {
    /// It was charged, or is known already.
    Applied,
    /// That run was never heard directly.
    UnknownRun,
    /// The relay has not heard the entry for so long that it counts as silent.
    TooOld,
    /// It builds on changes that are not known: the entry is heard, but the relay must
    /// send all of its usage.
    UnknownBase,
}
