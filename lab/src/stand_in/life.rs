//! Whether a stand-in's process lives, as its handle switches it.

use tokio::sync::watch;

/// Whether a stand-in's process lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeState {
    /// It serves; the number counts its runs.
    Serving(u64),
    /// It does not listen; connections are refused.
    Down,
}

/// Switches the life of a stand-in's process.
#[derive(Debug, Clone)]
pub struct Life {
    state: watch::Sender<LifeState>,
    freezes: watch::Sender<u64>,
}

impl Life {
    /// Creates the life of a process that serves its first run.
    pub fn new() -> Self {
        Self {
            state: watch::Sender::new(LifeState::Serving(0)),
            freezes: watch::Sender::new(0),
        }
    }

    /// Breaks all connections and refuses new ones.
    pub fn stop(&self) {
        self.state.send_replace(LifeState::Down);
    }

    /// Breaks all connections and serves as a new run.
    pub fn restart(&self, run: u64) {
        self.state.send_replace(LifeState::Serving(run));
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn freeze_connections(&self) {
        self.freezes.send_modify(|count| *count += 1);
    }

    /// Follows the state.
    pub fn watch(&self) -> watch::Receiver<LifeState> {
        self.state.subscribe()
    }

    /// Follows the number of times that connections were frozen.
    pub fn watch_freezes(&self) -> watch::Receiver<u64> {
        self.freezes.subscribe()
    }
}

impl Default for Life {
    fn default() -> Self {
        Self::new()
    }
}
