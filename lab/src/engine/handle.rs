//! Handle by which a test observes a running model engine and injects faults.

use std::net::SocketAddr;
use std::sync::Arc;

use super::EngineCounts;
use super::EngineFaults;
use super::EngineSettings;
use super::requests::handle_request;
use super::shared_engine::SharedEngine;
use crate::background_server::BackgroundServer;
use crate::stand_in::ProcessControl;
use crate::stand_in::start_stand_in;

/// Handle of a running model engine. Dropping it stops the server.
#[derive(Debug)]
pub struct EngineHandle {
    server: BackgroundServer,
    shared: Arc<SharedEngine>,
    process: ProcessControl,
}

/// Starts a model engine with an empty cache.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub fn start_model_engine(address: SocketAddr, settings: EngineSettings) -> EngineHandle {
    let shared = Arc::new(SharedEngine::new(settings));
    let process = ProcessControl::new();
    let request_state = Arc::clone(&shared);
    let handle = move |req| handle_request(Arc::clone(&request_state), req);
    let server = start_stand_in(address, process.clone(), handle);
    EngineHandle {
        server,
        shared,
        process,
    }
}

impl EngineHandle {
    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns the counts since the engine was started.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().counts
    }

    /// Returns the incarnation, which changes with every crash.
    pub fn incarnation(&self) -> u64 {
        self.shared.lock().incarnation
    }

    /// Returns the version of the loaded weights; 1 before any order.
    pub fn weights_version(&self) -> u64 {
        self.shared.lock().weights
    }

    /// Returns the role; `mixed` before any order.
    pub fn role(&self) -> String {
        self.shared.lock().role.clone()
    }

    /// Returns the number of cached blocks.
    pub fn cached_block_count(&self) -> usize {
        self.shared.lock().model.cache().len()
    }

    /// Returns the number of running and queued requests.
    pub fn active_requests(&self) -> usize {
        let (running, waiting) = self.shared.lock().model.count_requests();
        running + waiting
    }

    /// Drops the next `count` cache events; readers see a gap in the numbers.
    pub fn drop_cache_events(&self, count: u64) {
        self.shared.lock().cache_events.drop_next(count);
    }

    /// Closes all connections, drops all state and refuses connections until
    /// [`EngineHandle::restart`].
    pub fn crash(&self) {
        self.process.stop();
        self.shared.crash();
    }

    /// Serves again after a crash, with an empty cache and a new incarnation.
    pub fn restart(&self) {
        self.process.restart(self.incarnation());
    }

    /// Returns the control that stops, restarts or freezes the server.
    pub fn process(&self) -> &ProcessControl {
        &self.process
    }
}
