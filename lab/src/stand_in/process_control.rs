//! Control by which the handle of a stand-in simulates that its process stops,
//! restarts or loses its connections.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;

/// Maximum time for a stand-in to reach a state.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(10);

/// State of the simulated process of a stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// The process serves. The number identifies the run.
    Serving(u64),
    /// The process does not listen; connections are refused.
    Down,
}

/// Switches the simulated process of a stand-in. Clones control the same
/// process.
#[derive(Debug, Clone)]
pub struct ProcessControl {
    state: watch::Sender<ProcessState>,
    reached: Arc<ReachedState>,
    freezes: watch::Sender<u64>,
}

/// State that the server has reached, for those that wait for a switch.
#[derive(Debug)]
struct ReachedState {
    state: Mutex<ProcessState>,
    changed: Condvar,
}

impl ProcessControl {
    /// Creates the control of a process that serves run 0.
    pub fn new() -> Self {
        Self {
            state: watch::Sender::new(ProcessState::Serving(0)),
            reached: Arc::new(ReachedState {
                state: Mutex::new(ProcessState::Serving(0)),
                changed: Condvar::new(),
            }),
            freezes: watch::Sender::new(0),
        }
    }

    /// Closes all connections and refuses new ones. Returns when that is done.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not reach the state within 10 s.
    pub fn stop(&self) {
        self.switch(ProcessState::Down);
    }

    /// Closes all connections and serves as a new run. Returns when the server
    /// listens.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not reach the state within 10 s.
    pub fn restart(&self, run: u64) {
        self.switch(ProcessState::Serving(run));
    }

    /// Freezes all open connections for good. New connections work.
    pub fn freeze_connections(&self) {
        self.freezes.send_modify(|count| *count += 1);
    }

    /// Wakes the callers of `stop` and `restart` that wait for the state.
    pub(super) fn report_reached(&self, state: ProcessState) {
        *self.reached.lock() = state;
        self.reached.changed.notify_all();
    }

    fn switch(&self, state: ProcessState) {
        self.state.send_replace(state);
        let reached = self.reached.lock();
        let waited = self
            .reached
            .changed
            .wait_timeout_while(reached, SWITCH_TIMEOUT, |reached| *reached != state);
        let (reached, _) = waited.unwrap_or_else(PoisonError::into_inner);
        assert_eq!(
            *reached, state,
            "the stand-in did not reach the state in time"
        );
    }

    /// Subscribes to the state that the process must take.
    pub fn watch(&self) -> watch::Receiver<ProcessState> {
        self.state.subscribe()
    }

    /// Subscribes to the number of freezes so far.
    pub fn watch_freezes(&self) -> watch::Receiver<u64> {
        self.freezes.subscribe()
    }
}

impl ReachedState {
    fn lock(&self) -> MutexGuard<'_, ProcessState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ProcessControl {
    fn default() -> Self {
        Self::new()
    }
}
