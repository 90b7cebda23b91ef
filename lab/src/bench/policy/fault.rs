//! Faults that the bench brings about.

use std::str::FromStr;

/// A fault brought about during the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// None.
    None,
    /// Engines crash and come back empty.
    EngineCrash,
    /// Load reports and cache events are lost.
    EventLoss,
    /// All entries restart at once, and later one after the other.
    EntryRestarts,
    /// The popularity of prefixes changes at once; one becomes very hot.
    HotShift,
    /// All servers and entries of one availability zone are lost.
    ZoneLoss,
    /// One account sends several times its rate.
    NoisyAccount,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "none" => Ok(Self::None),
            "engine-crash" => Ok(Self::EngineCrash),
            "event-loss" => Ok(Self::EventLoss),
            "entry-restarts" => Ok(Self::EntryRestarts),
            "hot-shift" => Ok(Self::HotShift),
            "zone-loss" => Ok(Self::ZoneLoss),
            "noisy-account" => Ok(Self::NoisyAccount),
            _ => Err(
                "known: none, engine-crash, event-loss, entry-restarts, hot-shift, \
                      zone-loss, noisy-account"
                    .into(),
            ),
        }
    }
}
