//! What entries tell each other of servers, besides the records in the store.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;

use crate::core::fleet::Departure;
use crate::core::fleet::LimitUpdate;
use crate::core::fleet::QuarantineNews;
use crate::core::fleet::RolloutNews;
use crate::core::fleet::RunKey;
use crate::core::fleet::ServiceDemand;
use crate::core::fleet::SpeedUpdate;

/// What an entry tells another one of servers, besides the records in the store.
///
/// Messages hold fields by position, so that a field can be left out only if all later
/// ones are; see the implementation of [`Serialize`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct FleetNews {
    /// Crashed servers, and the quarantined parts and calls.
    pub quarantine: QuarantineNews,
    /// Listed runs that have said that they leave.
    pub leaving: Vec<RunKey>,
    /// Limits that servers name; `None` while there are none.
    #[serde(default)]
    pub limits: Option<LimitUpdate>,
    /// Rollouts of services' builds.
    #[serde(default)]
    pub rollouts: Vec<RolloutNews>,
    /// Speeds of servers that the sender has measured; `None` while there are none.
    #[serde(default)]
    pub speeds: Option<SpeedUpdate>,
    /// Work that calls ask for at the sender, for services where calls wait.
    #[serde(default)]
    pub demand: Vec<ServiceDemand>,
    /// Servers that have left, for an entry that has not read the members yet.
    #[serde(default)]
    pub departures: Vec<Departure>,
}

impl FleetNews {
    /// Returns what a relay passes on of this news `held` after it has received it. What
    /// the relay tells itself once it knows it is left out: what is quarantined, the runs
    /// that leave and the limits.
    pub fn to_passed_on(&self, held: Duration) -> Self {
        let mut news = self.clone();
        news.quarantine.quarantined.clear();
        news.leaving.clear();
        news.departures.clear();
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
        self.quarantine.is_empty() && self.leaving.is_empty() && self.count_fields() == 2
    }

    /// Returns the number of fields up to the last one that is not empty; the first two
    /// are always written.
    fn count_fields(&self) -> usize {
        let filled = [
            true,
            true,
            self.limits.is_some(),
            !self.rollouts.is_empty(),
            self.speeds.is_some(),
            !self.demand.is_empty(),
            !self.departures.is_empty(),
        ];
        let last = filled.iter().rposition(|is_filled| *is_filled);
        last.map_or(0, |index| index + 1)
    }
}

impl Serialize for FleetNews {
    /// Leaves out the empty fields at the end, so that an earlier release, which does
    /// not have them, can read the message.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let count = self.count_fields();
        let mut fields = serializer.serialize_struct("FleetNews", count)?;
        fields.serialize_field("quarantine", &self.quarantine)?;
        fields.serialize_field("leaving", &self.leaving)?;
        if count > 2 {
            fields.serialize_field("limits", &self.limits)?;
        }
        if count > 3 {
            fields.serialize_field("rollouts", &self.rollouts)?;
        }
        if count > 4 {
            fields.serialize_field("speeds", &self.speeds)?;
        }
        if count > 5 {
            fields.serialize_field("demand", &self.demand)?;
        }
        if count > 6 {
            fields.serialize_field("departures", &self.departures)?;
        }
        fields.end()
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;
    use crate::core::fleet::LimitUpdate;

    /// `FleetNews` as the release before the last field had it.
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    struct EarlierNews {
        quarantine: QuarantineNews,
        leaving: Vec<RunKey>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limits: Option<LimitUpdate>,
    }

    fn update() -> SpeedUpdate {
        SpeedUpdate {
            window: 3,
            notices: Vec::new(),
        }
    }

    fn demand() -> Vec<ServiceDemand> {
        vec![ServiceDemand {
            service: "s".into(),
            work_ms: vec![(1, 500)],
        }]
    }

    fn departures() -> Vec<Departure> {
        vec![Departure {
            server: "i-1".into(),
            ready_write: 7,
        }]
    }

    /// Guards against a field that takes the position of one before it that is empty.
    #[rstest]
    #[case::empty(None, None, Vec::new())]
    #[case::limits(Some(LimitUpdate::default()), None, Vec::new())]
    #[case::speeds(None, Some(update()), Vec::new())]
    #[case::demand(None, None, demand())]
    #[case::all(Some(LimitUpdate::default()), Some(update()), demand())]
    fn serialize_returns_same_fields(
        #[case] limits: Option<LimitUpdate>,
        #[case] speeds: Option<SpeedUpdate>,
        #[case] demand: Vec<ServiceDemand>,
        #[values(Vec::new(), departures())] departures: Vec<Departure>,
    ) {
        let news = FleetNews {
            leaving: vec![RunKey(1)],
            limits,
            speeds,
            demand,
            departures,
            ..FleetNews::default()
        };
        let encoded = rmp_serde::to_vec(&news).expect("the value is serializable");
        let decoded: FleetNews = rmp_serde::from_slice(&encoded).expect("it is valid");
        assert_eq!(decoded, news);
    }

    /// Guards against a change of release in which entries cannot read each other.
    #[rstest]
    #[case::empty(None)]
    #[case::limits(Some(LimitUpdate::default()))]
    fn serialize_without_speeds_is_read_by_earlier_release(#[case] limits: Option<LimitUpdate>) {
        let news = FleetNews {
            limits: limits.clone(),
            ..FleetNews::default()
        };
        let encoded = rmp_serde::to_vec(&news).expect("the value is serializable");
        let decoded: EarlierNews = rmp_serde::from_slice(&encoded).expect("it is valid");
        assert_eq!(decoded.limits, limits);
        let encoded = rmp_serde::to_vec(&decoded).expect("the value is serializable");
        let decoded: FleetNews = rmp_serde::from_slice(&encoded).expect("it is valid");
        assert_eq!(decoded, news);
    }
}
