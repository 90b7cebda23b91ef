//! Whether a request ran, as told to its caller.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran on a backend server, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No backend server began the request. Used only when that is certain.
    NotRun,
    /// A backend server ran the request.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `x-teaseldrum-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
