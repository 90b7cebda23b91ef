//! One event of one process.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uhlc::NTP64;

use super::EventKind;
use crate::core::RequestId;

/// One event of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Hybrid logical clock stamp: nanoseconds since the epoch, with a counter
    /// in the lowest bits. An effect has a higher stamp than its cause.
    pub stamp: u64,
    /// Name of the process.
    pub process: String,
    /// Request that the event belongs to, if any.
    pub request: Option<RequestId>,
    /// What happened.
    pub kind: EventKind,
}

impl Event {
    /// Returns the time of the event since the epoch, as its stamp tells it.
    pub fn time(&self) -> Duration {
        NTP64(self.stamp).to_duration()
    }

    /// Returns the stamp of a time since the epoch.
    pub fn stamp_of(time: Duration) -> u64 {
        NTP64::from(time).as_u64()
    }
}
