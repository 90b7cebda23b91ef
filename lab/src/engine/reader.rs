//! Interest in a generation.

use std::sync::Arc;

use tokio::time::sleep;

use super::shared::Shared;

/// Lets a generation go on only while someone reads it or may come back.
pub struct Reader {
    /// Engine.
    pub shared: Arc<Shared>,
    attempt: usize,
}

impl Reader {
    /// Takes an interest in a generation.
    pub fn new(shared: Arc<Shared>, attempt: usize) -> Self {
        if let Some(generation) = shared.lock().generation_mut(attempt) {
            generation.readers += 1;
        }
        Self { shared, attempt }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut inner = self.shared.lock();
        let Some(generation) = inner.generation_mut(self.attempt) else {
            return;
        };
        generation.readers -= 1;
        if generation.readers > 0 || generation.progress().ended {
            return;
        }
        drop(inner);
        let shared = Arc::clone(&self.shared);
        let attempt = self.attempt;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(cancel_orphan(shared, attempt));
        }
    }
}

async fn cancel_orphan(shared: Arc<Shared>, attempt: usize) {
    sleep(shared.settings.orphan_timeout).await;
    let mut inner = shared.lock();
    let is_orphan = inner
        .generation(attempt)
        .is_some_and(|generation| generation.readers == 0);
    if is_orphan {
        inner.cancel(attempt);
    }
}
