//! Threads that serve traffic, each with a runtime of its own.

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

const BACKLOG: i32 = 1024;

/// Reason for which a role cannot start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen(SocketAddr, io::Error),
    /// A thread or its runtime cannot be made.
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

/// Opens a listener that several threads share.
///
/// # Errors
///
/// The address cannot be listened on.
pub fn open_listener(address: SocketAddr) -> Result<std::net::TcpListener, StartError> {
    let open = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok(socket.into())
    };
    open().map_err(|e| StartError::Listen(address, e))
}

/// Opens a listener for the runtime that calls.
///
/// # Errors
///
/// The address cannot be listened on.
pub fn open_tokio_listener(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = open_listener(address)?;
    TcpListener::from_std(listener).map_err(|e| StartError::Listen(address, e))
}

/// Runs `serve` on `count` threads, each accepting from `listener`.
///
/// # Errors
///
/// A thread cannot be started.
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
        let shared = listener.try_clone().map_err(StartError::Thread)?;
        let runtime = build_runtime()?;
        let serve = serve.clone();
        let thread = thread::Builder::new()
            .name(format!("traffic-{index}"))
            .spawn(move || {
                runtime.block_on(async move {
                    match TcpListener::from_std(shared) {
                        Ok(listener) => serve(listener).await,
                        Err(e) => log::error!("threads: Listener unusable: {e}."),
                    }
                });
            })
            .map_err(StartError::Thread)?;
        threads.push(thread);
    }
    Ok(threads)
}

/// Builds a runtime that stays on one thread.
///
/// # Errors
///
/// The system refuses what the runtime needs.
pub fn build_runtime() -> Result<Runtime, StartError> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Thread)
}

/// Waits for SIGTERM or SIGINT, or for `stop` to turn true.
pub async fn wait_for_stop(mut stop: watch::Receiver<bool>) {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        log::error!("threads: Signals cannot be received.");
        let _ = stop.wait_for(|stopped| *stopped).await;
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = stop.wait_for(|stopped| *stopped) => {}
    }
}

/// Calls `reload` whenever SIGHUP arrives and every `interval`, since a file
/// may change without a signal.
pub async fn run_reload_loop(interval: Duration, mut reload: impl FnMut(bool)) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!("threads: SIGHUP cannot be received.");
        return;
    };
    loop {
        let is_signal = timeout(interval, hangup.recv()).await.is_ok();
        reload(is_signal);
    }
}

/// Waits until all threads have ended.
pub fn join_threads(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        if thread.join().is_err() {
            log::error!("threads: A traffic thread panicked.");
        }
    }
}
