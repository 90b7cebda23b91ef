//! Records the events of this process in bounded memory, newest last.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use uhlc::HLC;
use uhlc::HLCBuilder;
use uhlc::NTP64;

use super::Event;
use super::EventKind;
use super::EventPage;
use super::EventQuery;
use crate::core::RequestId;

/// Events that are kept; above this number the oldest are dropped.
const MAX_EVENTS: usize = 16_384;
/// Events in a page, which bounds the size of a control message.
const MAX_PAGE_EVENTS: usize = 2_048;

/// Maximum lead of a received stamp over this host's clock. Stamps beyond it are
/// ignored, so that one wrong clock cannot move the stamps of the fleet.
const MAX_STAMP_LEAD: Duration = Duration::from_secs(60);

/// Keeps the latest events of this process and its hybrid logical clock.
pub struct Recorder {
    process: String,
    clock: HLC,
    events: Mutex<VecDeque<Event>>,
}

impl Recorder {
    /// Creates an empty recorder; `process` is the name in its events.
    pub fn new(process: &str) -> Self {
        Self {
            process: process.into(),
            clock: HLCBuilder::new().with_max_delta(MAX_STAMP_LEAD).build(),
            events: Mutex::default(),
        }
    }

    /// Creates an empty recorder that reads time from `clock`, for tests with skewed
    /// clocks.
    pub fn with_clock(process: &str, clock: fn() -> NTP64) -> Self {
        let builder = HLCBuilder::new().with_max_delta(MAX_STAMP_LEAD);
        Self {
            clock: builder.with_clock(clock).build(),
            ..Self::new(process)
        }
    }

    /// Returns the first page of the events that match a query.
    pub fn page(&self, query: &EventQuery) -> EventPage {
        let events = self.lock_events();
        let mut found = events.iter().filter(|event| query.matches(event)).cloned();
        EventPage {
            events: found.by_ref().take(MAX_PAGE_EVENTS).collect(),
            has_more: found.next().is_some(),
        }
    }

    /// Records an event with a new stamp, and logs it at debug level.
    pub fn record(&self, request: Option<RequestId>, kind: EventKind) {
        let mut events = self.lock_events();
        let event = Event {
            stamp: self.stamp(),
            process: self.process.clone(),
            request,
            kind,
        };
        log::debug!("timeline: {event:?}");
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns a new stamp for an event or a message.
    pub fn stamp(&self) -> u64 {
        self.clock.new_timestamp().get_time().as_u64()
    }

    /// Advances the clock to a stamp received with a message, so that later events of
    /// this process get higher stamps.
    pub fn observe(&self, stamp: u64) {
        let id = *self.clock.get_id();
        let timestamp = uhlc::Timestamp::new(NTP64(stamp), id);
        if let Err(e) = self.clock.update_with_timestamp(&timestamp) {
            log::warn!("timeline: Received stamp too far ahead, ignored: {e}.");
        }
    }

    /// Returns a copy of all kept events, oldest first.
    pub fn snapshot(&self) -> Vec<Event> {
        self.lock_events().iter().cloned().collect()
    }

    fn lock_events(&self) -> MutexGuard<'_, VecDeque<Event>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Recorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Recorder")
            .field("process", &self.process)
            .finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn record_rising_stamps() {
        let recorder = Recorder::new("p");
        recorder.record(None, EventKind::Started);
        recorder.record(None, EventKind::Draining);
        let events = recorder.snapshot();
        assert!(events[0].stamp < events[1].stamp);
    }

    #[test]
    fn record_bounded() {
        let recorder = Recorder::new("p");
        for _ in 0..=MAX_EVENTS {
            recorder.record(None, EventKind::Started);
        }
        assert_eq!(recorder.snapshot().len(), MAX_EVENTS);
    }
}
