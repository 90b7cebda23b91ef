//! Query for the events of a process, and the page that answers it.

use serde::Deserialize;
use serde::Serialize;

use super::Event;
use crate::core::RequestId;

/// Query for events of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventQuery {
    /// Only events with a higher stamp. To read the next page, pass the stamp of the
    /// last event.
    pub after: u64,
    /// Only events of this request; `None` for all events.
    pub request: Option<RequestId>,
}

/// Page of events of a process, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPage {
    /// Events that match the query.
    pub events: Vec<Event>,
    /// Whether more events match after the last one of the page.
    #[serde(rename = "more")]
    pub has_more: bool,
}

impl EventQuery {
    /// Returns whether an event matches the query.
    pub fn matches(&self, event: &Event) -> bool {
        let is_request = self.request.is_none() || event.request == self.request;
        event.stamp > self.after && is_request
    }
}
