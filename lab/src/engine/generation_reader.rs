//! Registration of a reader with a generation. A generation whose last reader has
//! gone is cancelled unless a new one comes in time.

use std::sync::Arc;

use tokio::time::sleep;

use super::shared_engine::SharedEngine;

/// Registers a reader of a generation until it is dropped. When the last reader
/// is dropped before the end, the generation is cancelled after
/// [`orphan_timeout`](super::EngineSettings::orphan_timeout), so that a reader
/// can resume until then.
pub struct GenerationReader {
    /// Engine that runs the generation.
    pub shared: Arc<SharedEngine>,
    attempt: usize,
}

impl GenerationReader {
    /// Registers a reader of an attempt.
    pub fn new(shared: Arc<SharedEngine>, attempt: usize) -> Self {
        if let Some(generation) = shared.lock().generation_mut(attempt) {
            generation.readers += 1;
        }
        Self { shared, attempt }
    }
}

impl Drop for GenerationReader {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        let Some(generation) = state.generation_mut(self.attempt) else {
            return;
        };
        generation.readers -= 1;
        if generation.readers > 0 || generation.progress().ended {
            return;
        }
        drop(state);
        let shared = Arc::clone(&self.shared);
        let attempt = self.attempt;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(cancel_if_unread(shared, attempt));
        }
    }
}

async fn cancel_if_unread(shared: Arc<SharedEngine>, attempt: usize) {
    sleep(shared.settings.orphan_timeout).await;
    let mut state = shared.lock();
    let is_unread = state
        .generation(attempt)
        .is_some_and(|generation| generation.readers == 0);
    if is_unread {
        state.cancel(attempt);
    }
}
