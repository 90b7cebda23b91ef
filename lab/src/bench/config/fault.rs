//! What goes wrong right after each acceptance.

use std::str::FromStr;

/// What goes wrong right after each acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The store refuses every call until the rules are in force.
    StoreDown,
    /// A process is killed and started again.
    Killed,
    /// A process is paused for two seconds.
    Paused,
}

impl Fault {
    /// Returns the word on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::StoreDown => "store-down",
            Self::Killed => "killed",
            Self::Paused => "paused",
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, Self::Err> {
        [Self::None, Self::StoreDown, Self::Killed, Self::Paused]
            .into_iter()
            .find(|fault| fault.as_str() == word)
            .ok_or_else(|| format!("unknown fault `{word}`"))
    }
}
