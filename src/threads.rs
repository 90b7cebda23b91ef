//! Listeners, single-threaded runtimes, traffic threads and signal handling of
//! the long-running roles.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::stop_signals::StopSignals;

/// Completed connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Receive buffer of accepted connections, in bytes; the kernel doubles it. Enough for
/// 16 MB/s at a round trip of 2 ms.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// Reason why a role cannot start.
#[derive(Debug)]
pub enum StartError {
    /// The listener for an address could not be opened.
    Listen(SocketAddr, io::Error),
    /// A thread, its runtime or its copy of the listener could not be created.
    Thread(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, e) => write!(f, "cannot listen on {address}: {e}"),
            Self::Thread(e) => write!(f, "cannot start a thread: {e}"),
        }
    }
}

/// Opens a non-blocking listener that several threads can share. The address
/// may still have connections of an earlier process in TIME_WAIT.
///
/// # Errors
///
/// The socket cannot be created, bound or put into the listening state.
pub fn open_listener(address: SocketAddr) -> Result<std::net::TcpListener, StartError> {
    let bind_and_listen = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        // Inherited by connections, also by those that are not accepted yet. Unread bytes
        // count toward the memory of the host.
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        Ok(socket.into())
    };
    bind_and_listen().map_err(|e| StartError::Listen(address, e))
}

/// Opens a listener registered with the runtime of the caller.
///
/// # Errors
///
/// The socket cannot be opened as in [`open_listener`], or the runtime does not
/// accept it.
pub fn open_tokio_listener(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = open_listener(address)?;
    TcpListener::from_std(listener).map_err(|e| StartError::Listen(address, e))
}

/// Runs `serve` on `count` threads. Each has its own single-threaded runtime
/// and accepts from a copy of `listener`.
///
/// # Errors
///
/// A thread, its runtime or its copy of the listener cannot be created.
pub fn spawn_traffic_threads<S, F>(
    listener: &std::net::TcpListener,
    count: usize,
    serve: S,
) -> Result<Vec<JoinHandle<()>>, StartError>
where
    S: Fn(TcpListener) -> F + Clone + Send + 'static,
    F: Future<Output = ()>,
{
    let mut threads = Vec::with_capacity(count);
    for index in 0..count {
        let shared_listener = listener.try_clone().map_err(StartError::Thread)?;
        let runtime = build_runtime()?;
        let serve = serve.clone();
        let thread = thread::Builder::new()
            .name(format!("traffic-{index}"))
            .spawn(move || {
                runtime.block_on(async move {
                    match TcpListener::from_std(shared_listener) {
                        Ok(listener) => serve(listener).await,
                        Err(e) => log::error!(
                            "threads: Cannot register the listener with the runtime: {e}."
                        ),
                    }
                });
            })
            .map_err(StartError::Thread)?;
        threads.push(thread);
    }
    Ok(threads)
}

/// Builds a runtime that runs all its tasks on the thread that blocks on it.
///
/// # Errors
///
/// The system refuses a resource that the runtime needs, such as a file
/// descriptor.
pub fn build_runtime() -> Result<Runtime, StartError> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Thread)
}

/// Waits for SIGTERM or SIGINT, or until `stop` becomes true or its sender is
/// dropped. If the signal handlers cannot be installed, only `stop` ends the
/// wait.
pub async fn wait_for_stop(stop: watch::Receiver<bool>) {
    StopSignals::install(stop).wait().await;
}

/// Calls `reload` on each SIGHUP, and after each `interval` without one because
/// a file may change without a signal. The argument tells whether a signal was
/// the reason. Returns only if the signal handler cannot be installed.
pub async fn run_reload_loop(interval: Duration, mut reload: impl FnMut(bool)) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!("threads: Cannot install a handler for SIGHUP.");
        return;
    };
    loop {
        let is_from_signal = timeout(interval, hangup.recv()).await.is_ok();
        reload(is_from_signal);
    }
}

/// Waits until all threads have ended, and logs those that panicked.
pub fn join_threads(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        if thread.join().is_err() {
            log::error!("threads: A traffic thread panicked.");
        }
    }
}
