//! Signals that tell a process to stop, and since when one may have waited unseen.

use std::time::Duration;

use futures::FutureExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::core::MonotonicTime;

/// Interval between looks for a signal, and so the most by which a process that runs takes
/// one for older than it is.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// SIGTERM, SIGINT and a request of this process itself to stop.
#[derive(Debug)]
pub struct StopSignals {
    /// SIGTERM and SIGINT, if their handlers could be installed.
    signals: Option<(Signal, Signal)>,
    request: watch::Receiver<bool>,
}

impl StopSignals {
    /// Installs the handlers: from now on, a signal no longer ends the process. `request`
    /// stops it as well once it becomes true or its sender is dropped.
    pub fn install(request: watch::Receiver<bool>) -> Self {
        let signals = (
            signal(SignalKind::terminate()),
            signal(SignalKind::interrupt()),
        );
        let signals = match signals {
            (Ok(terminate), Ok(interrupt)) => Some((terminate, interrupt)),
            _ => {
                log::error!("threads: Cannot install handlers for SIGTERM and SIGINT.");
                None
            }
        };
        Self { signals, request }
    }

    /// Waits for the stop. If the handlers could not be installed, only the request ends
    /// the wait.
    pub async fn wait(&mut self) {
        let requested = self.request.wait_for(|stopped| *stopped);
        let Some((terminate, interrupt)) = &mut self.signals else {
            let _ = requested.await;
            return;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            _ = requested => {}
        }
    }

    /// Waits for the stop, and returns the earliest time at which it may have been
    /// requested, but not one before `installed_at`. To be called on a runtime with one
    /// thread.
    ///
    /// A process that has stood still sees a signal only afterwards, and its timers may
    /// fire first.
    pub async fn wait_since(&mut self, clock: Clock, installed_at: MonotonicTime) -> MonotonicTime {
        let mut none_until = installed_at;
        loop {
            let looked_at = clock.now();
            // The runtime takes signals from the system before it goes on here.
            yield_now().await;
            if self.wait().now_or_never().is_some() {
                return none_until;
            }
            none_until = looked_at;
            if timeout(LOOK_INTERVAL, self.wait()).await.is_ok() {
                return none_until;
            }
        }
    }
}
