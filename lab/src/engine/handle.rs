//! The handle of a model engine.

use std::net::SocketAddr;
use std::sync::Arc;

use super::EngineCounts;
use super::EngineFaults;
use super::EngineSettings;
use super::requests::handle_request;
use super::shared::SharedEngine;
use crate::background_server::BackgroundServer;
use crate::stand_in::ProcessControl;
use crate::stand_in::start_stand_in;

/// A model engine that runs; dropping it stops it.
#[derive(Debug)]
pub struct EngineHandle {
    running: BackgroundServer,
    shared: Arc<SharedEngine>,
    process: ProcessControl,
}

/// Starts a model engine.
///
/// # Panics
///
/// The address cannot be listened on.
pub fn start_model_engine(address: SocketAddr, settings: EngineSettings) -> EngineHandle {
    let shared = Arc::new(SharedEngine::new(settings));
    let process = ProcessControl::new();
    let request_state = Arc::clone(&shared);
    let handle = move |req| handle_request(Arc::clone(&request_state), req);
    let running = start_stand_in(address, process.clone(), handle);
    EngineHandle {
        running,
        shared,
        process,
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
    pub fn weights_version(&self) -> u64 {
        self.shared.lock().weights
    }

    /// Returns its role.
    pub fn role(&self) -> String {
        self.shared.lock().role.clone()
    }

    /// Returns the number of cached blocks.
    pub fn cached_block_count(&self) -> usize {
        self.shared.lock().model.cache().len()
    }

    /// Returns the number of requests that run or wait.
    pub fn active_requests(&self) -> usize {
        let (running, waiting) = self.shared.lock().model.count_requests();
        running + waiting
    }

    /// Loses the next `count` cache events.
    pub fn drop_cache_events(&self, count: u64) {
        self.shared.lock().cache_events.drop_next(count);
    }

    /// Breaks all connections, loses all state and refuses connections until
    /// [`EngineHandle::restart`].
    pub fn crash(&self) {
        self.process.stop();
        self.shared.crash();
    }

    /// Comes back empty, as another incarnation.
    pub fn restart(&self) {
        self.process.restart(self.incarnation());
    }

    /// Switches whether it listens at all, and lets connections go silent.
    pub fn process(&self) -> &ProcessControl {
        &self.process
    }
}
