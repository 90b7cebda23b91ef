//! The one thread of a process that owns its control state.

use std::future::Future;
use std::thread;
use std::thread::JoinHandle;

use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::threads::StartError;
use crate::threads::build_runtime;

/// The one thread of a process that owns its control state. Dropping it ends
/// its tasks and waits for the thread.
#[derive(Debug)]
pub struct ControlThread {
    runtime: Handle,
    stop_tx: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The thread or its runtime cannot be made.
    pub fn start() -> Result<Self, StartError> {
        let runtime = build_runtime()?;
        let handle = runtime.handle().clone();
        let (stop_tx, stop_rx) = oneshot::channel::<()>();
        let thread = thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                // A dropped sender stops the thread as well.
                let _ = runtime.block_on(stop_rx);
            })
            .map_err(StartError::Thread)?;
        Ok(Self {
            runtime: handle,
            stop_tx: Some(stop_tx),
            thread: Some(thread),
        })
    }

    /// Returns the runtime of the thread.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Runs a task on the thread until it ends or the thread does.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task);
    }
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        drop(self.stop_tx.take());
        let ended = self.thread.take().map(JoinHandle::join);
        if matches!(ended, Some(Err(_))) {
            log::error!("peer: The control thread panicked.");
        }
    }
}
