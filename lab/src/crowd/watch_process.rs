//! Follows what a process uses while a crowd calls it.

use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::watch;

use super::ProcessUsage;

/// Interval between two readings.
const INTERVAL: Duration = Duration::from_millis(50);

/// Reads the usage of a process on a thread of its own.
#[derive(Debug)]
pub struct ProcessWatch {
    stop: watch::Sender<bool>,
    thread: JoinHandle<Option<ProcessUsage>>,
}

impl ProcessWatch {
    /// Starts to read the usage of process `pid`, as [`ProcessUsage::read`] does.
    pub fn start(pid: u32, listeners: Vec<u16>, servers: Vec<u16>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let thread = thread::spawn(move || {
            let mut most = ProcessUsage::default();
            while !*stopped.borrow() {
                most = most.max_of(&ProcessUsage::read(pid, &listeners, &servers).ok()?);
                thread::sleep(INTERVAL);
            }
            Some(most)
        });
        Self { stop, thread }
    }

    /// Ends the readings. Returns the usage at the moment of the most memory, with the
    /// most descriptors of any moment; `None` if the process has ended.
    ///
    /// # Panics
    ///
    /// The thread has panicked.
    pub fn finish(self) -> Option<ProcessUsage> {
        self.stop.send_replace(true);
        self.thread.join().expect("the readings do not panic")
    }
}
