//! Whether a request has begun on a connection that is not handled yet.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

/// Time after a connection was accepted in which its first request is expected. Callers
/// connect when they have a request to send.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(1_500);

/// Tells whether a request is to be expected on a connection. Clones share it.
#[derive(Debug, Clone)]
pub(super) struct CallerActivity {
    accepted_at: Instant,
    state: Arc<ActivityState>,
}

#[derive(Debug, Default)]
struct ActivityState {
    has_had_request: AtomicBool,
    is_handling: AtomicBool,
    has_unhandled_bytes: AtomicBool,
}

impl CallerActivity {
    /// Creates the activity of a connection that was just accepted.
    pub fn start() -> Self {
        Self {
            accepted_at: Instant::now(),
            state: Arc::default(),
        }
    }

    /// Records that bytes have arrived. They belong to a head unless a request is being
    /// handled.
    pub fn record_bytes(&self) {
        if !self.state.is_handling.load(Ordering::Acquire) {
            self.state
                .has_unhandled_bytes
                .store(true, Ordering::Release);
        }
    }

    /// Records that the head of a request has arrived whole.
    pub fn begin_request(&self) {
        self.state.has_had_request.store(true, Ordering::Release);
        self.state.is_handling.store(true, Ordering::Release);
        self.state
            .has_unhandled_bytes
            .store(false, Ordering::Release);
    }

    /// Records that a request was handled.
    pub fn end_request(&self) {
        self.state.is_handling.store(false, Ordering::Release);
    }

    /// Returns whether a request has begun whose head is not whole, or a first request is
    /// still to be expected.
    pub fn expects_request(&self) -> bool {
        let is_new = !self.state.has_had_request.load(Ordering::Acquire)
            && self.accepted_at.elapsed() < FIRST_REQUEST_TIME;
        is_new || self.state.has_unhandled_bytes.load(Ordering::Acquire)
    }
}
