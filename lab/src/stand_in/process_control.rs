//! Whether a stand-in's process lives, as its handle switches it.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;

const SWITCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether a stand-in's process lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// It serves; the number counts its runs.
    Serving(u64),
    /// It does not listen; connections are refused.
    Down,
}

/// Switches the life of a stand-in's process.
#[derive(Debug, Clone)]
pub struct ProcessControl {
    state: watch::Sender<ProcessState>,
    reached: Arc<ReachedState>,
    freezes: watch::Sender<u64>,
}

/// The state that the process has reached.
#[derive(Debug)]
struct ReachedState {
    state: Mutex<ProcessState>,
    changed: Condvar,
}

impl ProcessControl {
    /// Creates the life of a process that serves its first run.
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

    /// Breaks all connections and refuses new ones; returns once it does.
    pub fn stop(&self) {
        self.switch(ProcessState::Down);
    }

    /// Breaks all connections and serves as a new run; returns once it does.
    pub fn restart(&self, run: u64) {
        self.switch(ProcessState::Serving(run));
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn freeze_connections(&self) {
        self.freezes.send_modify(|count| *count += 1);
    }

    /// Tells the one who switched that the state is reached.
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
        assert_eq!(*reached, state, "the stand-in does not run");
    }

    /// Follows the state.
    pub fn watch(&self) -> watch::Receiver<ProcessState> {
        self.state.subscribe()
    }

    /// Follows the number of times that connections were frozen.
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
