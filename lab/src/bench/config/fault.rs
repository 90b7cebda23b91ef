//! Faults that `bench config` injects.

use std::str::FromStr;

/// Fault injected right after the rules of each change are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The store refuses every call until the rules are in force, or until the
    /// bench stops waiting for them.
    StoreDown,
    /// One process is killed and started again.
    Killed,
    /// One process is paused with SIGSTOP for two seconds.
    Paused,
}

impl Fault {
    /// Returns the value of `--fault`, which the JSON figures repeat.
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
