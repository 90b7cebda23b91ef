//! What goes wrong during a run.

use std::str::FromStr;

/// What goes wrong during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The keeper of the largest account stops without notice.
    CoordinatorCrash,
    /// An entry drains, hands its slots over and comes back as a new process.
    EntryRestart,
    /// All requests go to one entry.
    Skew,
    /// The platform's store does not answer.
    StoreDown,
}

impl Fault {
    /// Returns the name on the command line.
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
