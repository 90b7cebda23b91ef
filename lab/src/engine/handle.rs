//! The handle of a model engine.

use std::net::SocketAddr;
use std::sync::Arc;

use super::EngineCounts;
use super::EngineFaults;
use super::EngineSettings;
use super::requests::answer;
use super::shared::Shared;
use crate::running::Running;
use crate::stand_in::Life;
use crate::stand_in::start_stand_in;

/// A model engine that runs; dropping it stops it.
#[derive(Debug)]
pub struct EngineHandle {
    running: Running,
    shared: Arc<Shared>,
    life: Life,
}

/// Starts a model engine.
///
/// # Panics
///
/// The address cannot be listened on.
pub fn start_model_engine(address: SocketAddr, settings: EngineSettings) -> EngineHandle {
    let shared = Arc::new(Shared::new(settings));
    let life = Life::new();
    let for_calls = Arc::clone(&shared);
    let handle = move |req| answer(Arc::clone(&for_calls), req);
    let running = start_stand_in(address, life.clone(), handle);
    EngineHandle {
        running,
        shared,
        life,
    }
}

impl EngineHandle {
    /// Address that it serves on.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns what it has done.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().counts
    }

    /// Returns its run.
    pub fn incarnation(&self) -> u64 {
        self.shared.lock().incarnation
    }

    /// Returns the version of its weights.
    pub fn weights(&self) -> u64 {
        self.shared.lock().weights
    }

    /// Returns its role.
    pub fn role(&self) -> String {
        self.shared.lock().role.clone()
    }

    /// Returns the number of cached blocks.
    pub fn cached_blocks(&self) -> usize {
        self.shared.lock().model.cache().len()
    }

    /// Returns the number of requests that run or wait.
    pub fn active(&self) -> usize {
        let (running, waiting) = self.shared.lock().model.count_requests();
        running + waiting
    }

    /// Loses the next `count` cache events.
    pub fn lose_cache_events(&self, count: u64) {
        self.shared.lock().events.lose_next(count);
    }

    /// Breaks all connections, loses all state and refuses connections until
    /// [`EngineHandle::restart`].
    pub fn crash(&self) {
        self.life.stop();
        self.shared.crash();
    }

    /// Comes back empty, as another incarnation.
    pub fn restart(&self) {
        self.life.restart(self.incarnation());
    }

    /// Switches whether it listens at all, and lets connections go silent.
    pub fn life(&self) -> &Life {
        &self.life
    }
}
