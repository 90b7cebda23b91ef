//! What a connection is used for.

use std::time::Duration;

/// What a connection is used for, from the least useful on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionUse {
    /// No part of a request has arrived since the last response.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A part of a body has arrived.
    Body,
    /// The caller takes nothing of a response that waits for it.
    Blocked,
    /// A whole request is handled.
    Working,
}

impl ConnectionUse {
    /// Returns the time after which a connection of this use may be closed in favour of
    /// another one; `None` if it may not.
    pub(super) fn spared_for(self) -> Option<Duration> {
        match self {
            Self::Idle => Some(Duration::from_millis(100)),
            Self::Head => Some(Duration::from_millis(500)),
            Self::Body => Some(Duration::from_secs(1)),
            Self::Blocked => Some(Duration::from_secs(2)),
            Self::Working => None,
        }
    }
}
