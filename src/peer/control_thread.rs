//! Thread that runs the control tasks of a process, apart from its traffic
//! threads.

use std::future::Future;
use std::thread;
use std::thread::JoinHandle;

use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::threads::StartError;
use crate::threads::build_runtime;

/// Single thread that runs the control tasks of a process and owns their state.
/// Dropping it stops the tasks and joins the thread.
#[derive(Debug)]
pub struct ControlThread {
    runtime: Handle,
    stop_tx: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ControlThread {
    /// Starts the thread and its runtime.
    ///
    /// # Errors
    ///
    /// The thread or its runtime could not be created.
    pub fn start() -> Result<Self, StartError> {
        let runtime = build_runtime()?;
        let handle = runtime.handle().clone();
        let (stop_tx, stop_rx) = oneshot::channel::<()>();
        let thread = thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                // An error means that the sender was dropped, which also stops the
                // thread.
                let _ = runtime.block_on(stop_rx);
            })
            .map_err(StartError::Thread)?;
        Ok(Self {
            runtime: handle,
            stop_tx: Some(stop_tx),
            thread: Some(thread),
        })
    }

    /// Returns a handle of the runtime that runs on the thread.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Runs a task on the thread. The task is dropped when the thread stops.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task);
    }
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        drop(self.stop_tx.take());
        let ended = self.thread.take().map(JoinHandle::join);
        if matches!(ended, Some(Err(_))) {
            log::error!("peer: Control thread panicked.");
        }
    }
}
