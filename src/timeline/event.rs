//! Event of a process with its hybrid logical clock stamp.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uhlc::NTP64;

use super::EventKind;
use crate::core::RequestId;

/// Event of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Hybrid logical clock stamp: time since the Unix epoch in 64-bit NTP format,
    /// with a counter in the lowest bits. An effect has a higher stamp than its
    /// cause.
    pub stamp: u64,
    /// Name of the process that recorded the event.
    pub process: String,
    /// Request that the event belongs to; `None` for events of the process itself.
    pub request: Option<RequestId>,
    /// What happened, with its details.
    pub kind: EventKind,
}

impl Event {
    /// Returns the time of the event since the Unix epoch, according to its stamp.
    pub fn time(&self) -> Duration {
        NTP64(self.stamp).to_duration()
    }

    /// Returns the stamp that corresponds to a time since the Unix epoch.
    pub fn stamp_of(time: Duration) -> u64 {
        NTP64::from(time).as_u64()
    }
}
