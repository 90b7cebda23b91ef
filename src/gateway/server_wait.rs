//! Time for which an attempt waits for its server.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which an attempt waits for its server. Waits for something else, such as room
/// for the response, do not count.
#[derive(Debug, Default)]
pub struct ServerWait(Mutex<Option<Instant>>);

impl ServerWait {
    /// Begins a wait for the server.
    pub fn begin(&self) {
        *self.lock() = Some(Instant::now());
    }

    /// Ends the wait, since the server has sent something.
    pub fn end(&self) {
        *self.lock() = None;
    }

    /// Returns for how long the attempt has waited; zero if it does not wait.
    pub fn elapsed(&self) -> Duration {
        self.lock().map_or(Duration::ZERO, |since| since.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
