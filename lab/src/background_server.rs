//! Server (an entry, an agent or a stand-in) that runs on a thread of this
//! process.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use tokio::sync::watch;

/// Server (an entry, an agent or a stand-in) that runs on a thread of this
/// process. Dropping it requests its stop and waits until it has drained.
#[derive(Debug)]
pub struct BackgroundServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundServer {
    /// Runs `serve` on a new thread and waits until it reports its address. `serve`
    /// gets a channel that turns true when it must stop, and the callback that
    /// takes the address.
    ///
    /// # Panics
    ///
    /// Panics if `serve` ends without having reported an address.
    pub fn start<S>(serve: S) -> Self
    where
        S: FnOnce(watch::Receiver<bool>, Box<dyn FnOnce(SocketAddr)>) + Send + 'static,
    {
        let (stop, stop_rx) = watch::channel(false);
        let (address_tx, address_rx) = mpsc::channel();
        let thread = thread::spawn(move || {
            let ready = move |address| {
                // `start` waits for the address, so the receiver exists.
                let _ = address_tx.send(address);
            };
            serve(stop_rx, Box::new(ready));
        });
        let address = address_rx.recv().expect("the server reports its address");
        Self {
            address,
            stop,
            thread: Some(thread),
        }
    }

    /// Requests that the server drains and stops, without waiting for it.
    pub fn request_stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for BackgroundServer {
    fn drop(&mut self) {
        self.request_stop();
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}
