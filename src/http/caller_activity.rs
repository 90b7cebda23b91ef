//! Whether a request has begun on a connection that is not handled yet.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::Extensions;
use tokio::time::Instant;

use crate::core::AccountName;
use crate::core::ConnectionUse;

/// Time after a connection was accepted in which its first request is expected. Callers
/// connect when they have a request to send.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(1_500);

/// Time after bytes have arrived in which the rest of a head is expected.
const NEXT_BYTES_TIME: Duration = Duration::from_millis(1_500);

/// Time after the start of a drain from which no request is accepted any more, whatever
/// has arrived of it. The running ones need the rest of the drain.
pub(super) const LAST_REQUEST_TIME: Duration = Duration::from_millis(1_500);

/// Size of a response that the host of its caller takes at once, in bytes.
const MAX_SHORT_RESPONSE_BYTES: usize = 4 * 1024;

/// Tells whether a request is to be expected on a connection. Clones share it.
#[derive(Debug, Clone)]
pub struct CallerActivity {
    accepted_at: Instant,
    state: Arc<Mutex<ActivityState>>,
}

#[derive(Debug, Default)]
struct ActivityState {
    has_had_request: bool,
    is_handling: bool,
    /// Since when the request is handled, or none is.
    changed_at: Option<Instant>,
    /// Whether the whole body of the request has arrived.
    has_whole_body: bool,
    /// When bytes last arrived while no request was handled. They belong to a head, or
    /// to the body of a request that was answered before its body was read.
    unhandled_bytes_at: Option<Instant>,
    /// When the first of them arrived.
    head_began_at: Option<Instant>,
    /// Whether the connection carries control messages, and one has arrived whole.
    has_had_message: bool,
    /// Since when the kernel has taken no bytes of a response that wait for the caller.
    blocked_since: Option<Instant>,
    /// Whether that was so since the last request began.
    has_blocked: bool,
    /// Bytes written since then.
    written: usize,
    /// Whether the process is about to end.
    is_stopping: bool,
    /// Account of the last request, if it has one.
    account: Option<AccountName>,
}

impl CallerActivity {
    /// Creates the activity of a connection that was just accepted.
    pub(crate) fn start() -> Self {
        Self {
            accepted_at: Instant::now(),
            state: Arc::default(),
        }
    }

    /// Records that bytes have arrived.
    pub(crate) fn record_bytes(&self) {
        let mut state = self.lock();
        if !state.is_handling {
            let now = Instant::now();
            state.unhandled_bytes_at = Some(now);
            state.head_began_at.get_or_insert(now);
        }
    }

    /// Records that the head of a request has arrived whole, and whether its body has.
    pub(super) fn begin_request(&self, has_whole_body: bool) {
        let mut state = self.lock();
        state.has_had_request = true;
        state.is_handling = true;
        state.has_whole_body = has_whole_body;
        state.changed_at = Some(Instant::now());
        state.unhandled_bytes_at = None;
        state.head_began_at = None;
        state.has_blocked = false;
        state.written = 0;
        state.account = None;
    }

    /// Records the account of the request.
    fn record_account(&self, account: Option<AccountName>) {
        self.lock().account = account;
    }

    /// Returns the account of the last request, if it has one.
    pub(super) fn account(&self) -> Option<AccountName> {
        self.lock().account.clone()
    }

    /// Records that the process is about to end.
    pub(super) fn begin_stop(&self) {
        self.lock().is_stopping = true;
    }

    /// Returns whether the process is about to end.
    pub(super) fn is_stopping(&self) -> bool {
        self.lock().is_stopping
    }

    /// Returns whether a response is not written whole.
    pub(super) fn has_unwritten_response(&self) -> bool {
        let (is_handling, blocked) = self.describe_response();
        is_handling || blocked.is_some()
    }

    /// Returns whether the process is about to end while a caller that reads slowly has not
    /// taken the whole of its response.
    pub(super) fn has_slow_reader_at_stop(&self) -> bool {
        let state = self.lock();
        state.is_stopping && state.has_blocked
    }

    /// Records that the whole body of the request has arrived.
    pub fn record_whole_body(&self) {
        let mut state = self.lock();
        state.has_whole_body = true;
        state.changed_at = Some(Instant::now());
    }

    /// Records that a whole control message has arrived: its peer counts as useful from
    /// now on.
    pub(crate) fn record_message(&self) {
        self.lock().has_had_message = true;
    }

    /// Records that a request was handled, and its response ended.
    pub(super) fn end_request(&self) {
        let mut state = self.lock();
        state.is_handling = false;
        state.changed_at = Some(Instant::now());
    }

    /// Records a write of bytes for the caller; `None` if the kernel does not take them.
    pub(super) fn record_write(&self, written: Option<usize>) {
        let is_blocked = written.is_none();
        let mut state = self.lock();
        state.written = state.written.saturating_add(written.unwrap_or(0));
        state.blocked_since = is_blocked.then(|| state.blocked_since.unwrap_or_else(Instant::now));
        state.has_blocked |= is_blocked;
    }

    /// Returns whether a request is handled, and for how long the caller has taken nothing
    /// of what waits for it.
    pub(super) fn describe_response(&self) -> (bool, Option<Duration>) {
        let state = self.lock();
        let blocked = state.blocked_since.map(|since| since.elapsed());
        (state.is_handling, blocked)
    }

    /// Returns whether the caller may still send bytes that no request takes, or may not
    /// have taken the whole of a response that ended less than `last_time` ago.
    pub(super) fn needs_ordered_end(&self, last_time: Duration) -> bool {
        let state = self.lock();
        let is_recent = state.changed_at.is_some_and(|at| at.elapsed() < last_time);
        let is_within_body = state.has_had_request && !state.has_whole_body;
        let is_long = state.written > MAX_SHORT_RESPONSE_BYTES && is_recent;
        is_within_body || state.unhandled_bytes_at.is_some() || state.has_blocked || is_long
    }

    /// Returns what the connection is used for, and for how long.
    pub(super) fn current_use(&self) -> (ConnectionUse, Duration) {
        let state = self.lock();
        let changed_at = state.changed_at.unwrap_or(self.accepted_at);
        let (usage, since) = if let Some(since) = state.blocked_since {
            (ConnectionUse::Blocked, since)
        } else if state.has_had_message || state.is_handling && state.has_whole_body {
            (ConnectionUse::Working, changed_at)
        } else if state.is_handling {
            (ConnectionUse::Body, changed_at)
        } else if let Some(since) = state.head_began_at {
            (ConnectionUse::Head, since)
        } else {
            (ConnectionUse::Idle, changed_at)
        };
        (usage, since.elapsed())
    }

    /// Returns whether a request has begun lately whose head is not whole, or a first
    /// request is still to be expected, in a drain that began at `drained_from`.
    pub(super) fn expects_request(&self, drained_from: Instant) -> bool {
        if drained_from.elapsed() >= LAST_REQUEST_TIME {
            return false;
        }
        let state = self.lock();
        let is_new = !state.has_had_request && self.accepted_at.elapsed() < FIRST_REQUEST_TIME;
        let has_lately = |at: Instant| at.elapsed() < NEXT_BYTES_TIME;
        is_new || state.unhandled_bytes_at.is_some_and(has_lately)
    }

    /// Returns whether a part of a head may have arrived, no request is handled, and no
    /// bytes of a response wait for the caller.
    pub(super) fn is_within_head(&self) -> bool {
        let state = self.lock();
        !state.is_handling && state.unhandled_bytes_at.is_some() && state.blocked_since.is_none()
    }

    fn lock(&self) -> MutexGuard<'_, ActivityState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records that the whole body of the request with these extensions has arrived, so that
/// its connection is not closed for others while it is handled.
pub fn record_whole_body(extensions: &Extensions) {
    if let Some(activity) = extensions.get::<CallerActivity>() {
        activity.record_whole_body();
    }
}

/// Records the account of the request with these extensions, to which bytes count that the
/// kernel holds for its caller.
pub fn record_account(extensions: &Extensions, account: Option<AccountName>) {
    if let Some(activity) = extensions.get::<CallerActivity>() {
        activity.record_account(account);
    }
}
