//! Interest in a generation.

use std::sync::Arc;

use tokio::time::sleep;

use super::shared::SharedEngine;

/// Lets a generation go on only while someone reads it or may come back.
pub struct GenerationReader {
    /// Engine.
    pub shared: Arc<SharedEngine>,
    attempt: usize,
}

impl GenerationReader {
    /// Takes an interest in a generation.
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
