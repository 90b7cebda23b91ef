//! What entries tell each other of servers, besides the records in the store.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;

use crate::core::fleet::LimitUpdate;
use crate::core::fleet::QuarantineNews;
use crate::core::fleet::RolloutNews;
use crate::core::fleet::RunKey;

/// What an entry tells another one of servers, besides the records in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct FleetNews {
    /// Crashed servers, and the quarantined parts and calls.
    pub quarantine: QuarantineNews,
    /// Listed runs that have said that they leave.
    pub leaving: Vec<RunKey>,
    /// Limits that servers name; `None` while there are none, so that an earlier
    /// release can read the message.
    #[serde(default)]
    pub limits: Option<LimitUpdate>,
    /// Rollouts of services' builds; left out while there are none.
    #[serde(default)]
    pub rollouts: Vec<RolloutNews>,
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
        self.quarantine.is_empty()
            && self.leaving.is_empty()
            && self.limits.is_none()
            && self.rollouts.is_empty()
    }
}

impl Serialize for FleetNews {
    /// Leaves out the last fields while they are empty. A field before one that is not
    /// empty is written, since the message holds the fields by position.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let field_count = if !self.rollouts.is_empty() {
            4
        } else if self.limits.is_some() {
            3
        } else {
            2
        };
        let mut fields = serializer.serialize_struct("FleetNews", field_count)?;
        fields.serialize_field("quarantine", &self.quarantine)?;
        fields.serialize_field("leaving", &self.leaving)?;
        if field_count > 2 {
            fields.serialize_field("limits", &self.limits)?;
        }
        if field_count > 3 {
            fields.serialize_field("rollouts", &self.rollouts)?;
        }
        fields.end()
    }
}
