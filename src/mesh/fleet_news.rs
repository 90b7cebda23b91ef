//! What entries tell each other of servers, besides the records in the store.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::fleet::LimitUpdate;
use crate::core::fleet::QuarantineNews;
use crate::core::fleet::RunKey;

/// What an entry tells another one of servers, besides the records in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetNews {
    /// Crashed servers, and the quarantined parts and calls.
    pub quarantine: QuarantineNews,
    /// Listed runs that have said that they leave.
    pub leaving: Vec<RunKey>,
    /// Limits that servers name; `None` while there are none, so that an earlier
    /// release can read the message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<LimitUpdate>,
}

impl FleetNews {
    /// Returns what a relay passes on of this news `held` after it has received it. What
    /// the relay tells itself once it knows it is left out: what is quarantined, the runs
    /// that leave and the limits.
    pub fn to_passed_on(&self, held: Duration) -> Self {
        let mut news = self.clone();
        news.quarantine.quarantined.clear();
        news.leaving.clear();
        if let Some(limits) = &mut news.limits {
            limits.notices.clear();
        }
        for broken in &mut news.quarantine.broken {
            broken.age += held;
        }
        for alive in &mut news.quarantine.alive {
            alive.age += held;
        }
        for cleared in &mut news.quarantine.cleared {
            cleared.age += held;
        }
        news
    }

    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.quarantine.is_empty() && self.leaving.is_empty() && self.limits.is_none()
    }
}
