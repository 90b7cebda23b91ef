//! A role or stand-in that runs on threads of this process.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use tokio::sync::watch;

/// A role or stand-in that runs on threads of this process; dropping it stops
/// it and waits until it has drained.
#[derive(Debug)]
pub struct BackgroundServer {
    /// Address that it serves on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundServer {
    /// Starts `serve` on a thread and waits until it reports its address.
    ///
    /// # Panics
    ///
    /// It ends without having served.
    pub fn start<S>(serve: S) -> Self
    where
        S: FnOnce(watch::Receiver<bool>, Box<dyn FnOnce(SocketAddr)>) + Send + 'static,
    {
        let (stop, stop_rx) = watch::channel(false);
        let (address_tx, address_rx) = mpsc::channel();
        let thread = thread::spawn(move || {
            let ready = move |address| {
                // The starter waits for the address; it cannot be gone.
                let _ = address_tx.send(address);
            };
            serve(stop_rx, Box::new(ready));
        });
        let address = address_rx.recv().expect("it serves");
        Self {
            address,
            stop,
            thread: Some(thread),
        }
    }

    /// Tells it to drain, without waiting.
    pub fn request_stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for BackgroundServer {
    fn drop(&mut self) {
        self.request_stop();
        if let Some(thread) = self.thread.take() {
            // A panic on the thread has been printed already.
            let _ = thread.join();
        }
    }
}
