//! Faults that `bench policy` injects.

use std::str::FromStr;

/// Fault injected during the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Four engines crash, eight seconds apart, and come back with empty caches.
    EngineCrash,
    /// A part of all load reports and cache events is lost, during the whole
    /// run.
    EventLoss,
    /// All entries restart at once, and later one after the other.
    EntryRestarts,
    /// The popularity order of the documents is reversed, and one document gets
    /// a quarter of all requests from then on.
    HotShift,
    /// All servers and entries of one availability zone are lost for good.
    ZoneLoss,
    /// One account sends five times its usual traffic.
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
                "expected one of none, engine-crash, event-loss, entry-restarts, hot-shift, \
                      zone-loss, noisy-account"
                    .into(),
            ),
        }
    }
}
