//! Silence of the agent of one attempt.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Silence of the agent of one attempt. It is recorded again and again while it lasts.
#[derive(Debug, Default)]
pub struct AgentSilence {
    recorded_at: Mutex<Option<Instant>>,
    /// Notified at each record, also by the other attempts of the request.
    notify: Arc<Notify>,
}

impl AgentSilence {
    /// Creates the state of an agent that is not silent.
    pub fn new(notify: &Arc<Notify>) -> Self {
        Self {
            recorded_at: Mutex::default(),
            notify: Arc::clone(notify),
        }
    }

    /// Records that the agent has sent nothing for the time that the settings allow.
    pub fn record(&self) {
        *self.lock() = Some(Instant::now());
        self.notify.notify_one();
    }

    /// Returns whether the agent is still silent, if that is recorded every `interval`.
    pub fn is_lasting(&self, interval: Duration) -> bool {
        let recorded_at = *self.lock();
        recorded_at.is_some_and(|at| at.elapsed() < interval + interval / 4)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.recorded_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against further attempts beside one whose agent is not silent any more.
    #[tokio::test(start_paused = true)]
    async fn is_lasting_while_recorded() {
        let interval = Duration::from_secs(3);
        let silence = AgentSilence::default();
        assert!(!silence.is_lasting(interval));
        for _ in 0..3 {
            silence.record();
            tokio::time::sleep(interval).await;
            assert!(silence.is_lasting(interval));
        }
        tokio::time::sleep(interval).await;
        assert!(!silence.is_lasting(interval));
    }
}
