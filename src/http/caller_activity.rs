//! Whether a request has begun on a connection that is not handled yet.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

/// Time after a connection was accepted in which its first request is expected. Callers
/// connect when they have a request to send.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(1_500);

/// Time after bytes have arrived in which the rest of a head is expected.
const NEXT_BYTES_TIME: Duration = Duration::from_millis(1_500);

/// Time after the start of a drain from which no request is accepted any more, whatever
/// has arrived of it. The running ones need the rest of the drain.
pub(super) const LAST_REQUEST_TIME: Duration = Duration::from_millis(1_500);

/// Tells whether a request is to be expected on a connection. Clones share it.
#[derive(Debug, Clone)]
pub(super) struct CallerActivity {
    accepted_at: Instant,
    state: Arc<Mutex<ActivityState>>,
}

#[derive(Debug, Default)]
struct ActivityState {
    has_had_request: bool,
    is_handling: bool,
    /// When bytes last arrived while no request was handled. They belong to a head, or
    /// to the body of a request that was answered before its body was read.
    unhandled_bytes_at: Option<Instant>,
    /// Since when the kernel has taken no bytes of a response that wait for the caller.
    blocked_since: Option<Instant>,
}

impl CallerActivity {
    /// Creates the activity of a connection that was just accepted.
    pub fn start() -> Self {
        Self {
            accepted_at: Instant::now(),
            state: Arc::default(),
        }
    }

    /// Records that bytes have arrived.
    pub fn record_bytes(&self) {
        let mut state = self.lock();
        if !state.is_handling {
            state.unhandled_bytes_at = Some(Instant::now());
        }
    }

    /// Records that the head of a request has arrived whole.
    pub fn begin_request(&self) {
        let mut state = self.lock();
        state.has_had_request = true;
        state.is_handling = true;
        state.unhandled_bytes_at = None;
    }

    /// Records that a request was handled, and its response ended.
    pub fn end_request(&self) {
        self.lock().is_handling = false;
    }

    /// Records whether bytes wait for the caller that the kernel does not take.
    pub fn record_write(&self, is_blocked: bool) {
        let mut state = self.lock();
        state.blocked_since = is_blocked.then(|| state.blocked_since.unwrap_or_else(Instant::now));
    }

    /// Returns whether a request is handled, and for how long the caller has taken nothing
    /// of what waits for it.
    pub fn describe_response(&self) -> (bool, Option<Duration>) {
        let state = self.lock();
        let blocked = state.blocked_since.map(|since| since.elapsed());
        (state.is_handling, blocked)
    }

    /// Returns whether a request has begun lately whose head is not whole, or a first
    /// request is still to be expected, in a drain that began at `drained_from`.
    pub fn expects_request(&self, drained_from: Instant) -> bool {
        if drained_from.elapsed() >= LAST_REQUEST_TIME {
            return false;
        }
        let state = self.lock();
        let is_new = !state.has_had_request && self.accepted_at.elapsed() < FIRST_REQUEST_TIME;
        let has_lately = |at: Instant| at.elapsed() < NEXT_BYTES_TIME;
        is_new || state.unhandled_bytes_at.is_some_and(has_lately)
    }

    /// Returns whether a part of a head may have arrived, and no request is handled.
    pub fn is_within_head(&self) -> bool {
        let state = self.lock();
        !state.is_handling && state.unhandled_bytes_at.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, ActivityState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
