//! Which events of a process are asked for.

use serde::Deserialize;
use serde::Serialize;

use super::Event;
use crate::core::RequestId;

/// Which events of a process are asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventQuery {
    /// Only events with a higher stamp.
    pub after: u64,
    /// Only events of this request.
    pub request: Option<RequestId>,
}

/// Events of a process, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPage {
    /// Events found.
    pub events: Vec<Event>,
    /// More may be had, after the last of these.
    #[serde(rename = "more")]
    pub has_more: bool,
}

impl EventQuery {
    /// Tells whether an event is asked for.
    pub fn matches(&self, event: &Event) -> bool {
        let is_request = self.request.is_none() || event.request == self.request;
        event.stamp > self.after && is_request
    }
}
