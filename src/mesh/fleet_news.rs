//! What entries tell each other of servers, besides the records in the store.

use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;

use crate::core::fleet::LimitUpdate;
use crate::core::fleet::QuarantineNews;
use crate::core::fleet::RunKey;
use crate::core::fleet::ServiceDemand;

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
    /// Work that calls ask for at the sender, for services where calls wait.
    #[serde(default)]
    pub demand: Vec<ServiceDemand>,
}

impl FleetNews {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.quarantine.is_empty()
            && self.leaving.is_empty()
            && self.limits.is_none()
            && self.demand.is_empty()
    }
}

impl Serialize for FleetNews {
    /// Leaves out the empty fields at the end, so that an earlier release can read the
    /// message. Messages hold fields by position, so an empty field before one that is
    /// not empty is written.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let filled = [true, true, self.limits.is_some(), !self.demand.is_empty()];
        let last = filled.iter().rposition(|is_filled| *is_filled);
        let count = last.map_or(0, |index| index + 1);
        let mut fields = serializer.serialize_struct("FleetNews", count)?;
        fields.serialize_field("quarantine", &self.quarantine)?;
        fields.serialize_field("leaving", &self.leaving)?;
        if count > 2 {
            fields.serialize_field("limits", &self.limits)?;
        }
        if count > 3 {
            fields.serialize_field("demand", &self.demand)?;
        }
        fields.end()
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn demand() -> Vec<ServiceDemand> {
        vec![ServiceDemand {
            service: "s".into(),
            work_ms: vec![(1, 500)],
        }]
    }

    /// Guards against demand that is read as limits while there are no limits.
    #[rstest]
    #[case::empty(None, Vec::new())]
    #[case::limits(Some(LimitUpdate::default()), Vec::new())]
    #[case::demand(None, demand())]
    #[case::both(Some(LimitUpdate::default()), demand())]
    fn serialize_demand_keeps_positions(
        #[case] limits: Option<LimitUpdate>,
        #[case] demand: Vec<ServiceDemand>,
    ) {
        let news = FleetNews {
            limits,
            demand,
            ..FleetNews::default()
        };
        let encoded = rmp_serde::to_vec(&news).expect("the value is serializable");
        let decoded: FleetNews = rmp_serde::from_slice(&encoded).expect("it is valid");
        assert_eq!(decoded, news);
    }
}
