//! What may crash servers: a prompt part that calls share, or one call.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::CallDigest;
use crate::core::fleet::PartId;

/// What may crash every server that begins to answer a call with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// Prompt part that calls share.
    Part(PartId),
    /// The call itself, with all its repeats.
    Call(CallDigest),
}

impl Suspect {
    /// Returns the call, unless this is a part.
    pub fn as_call(self) -> Option<CallDigest> {
        match self {
            Self::Part(_) => None,
            Self::Call(call) => Some(call),
        }
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part={:x}", part.0),
            Self::Call(call) => write!(f, "call={call}"),
        }
    }
}
