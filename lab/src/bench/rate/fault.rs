//! Faults that `bench rate` injects.

use std::str::FromStr;

/// Fault injected when the measured time begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The coordinator of the largest account crashes.
    CoordinatorCrash,
    /// The same entry drains, hands over its slots and comes back as a new
    /// process.
    EntryRestart,
    /// All requests go to one entry, other than the coordinator of the largest
    /// account if there is another.
    Skew,
    /// The platform's store does not respond. Entries keep the slots they hold.
    StoreDown,
}

impl Fault {
    /// Returns the value of `--fault`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::CoordinatorCrash => "keeper-crash",
            Self::EntryRestart => "entry-restart",
            Self::Skew => "skew",
            Self::StoreDown => "store-down",
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = [
            Self::None,
            Self::CoordinatorCrash,
            Self::EntryRestart,
            Self::Skew,
            Self::StoreDown,
        ];
        all.into_iter()
            .find(|fault| fault.as_str() == text)
            .ok_or_else(|| format!("unknown fault `{text}`"))
    }
}
