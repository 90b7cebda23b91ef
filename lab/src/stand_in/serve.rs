//! HTTP server of a stand-in, which follows its [`ProcessControl`].

use std::future::Future;
use std::net::SocketAddr;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use teaseldrum::threads::build_runtime;
use teaseldrum::threads::open_listener;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::FreezableStream;
use super::ProcessControl;
use super::ProcessState;
use super::StandInResult;
use crate::background_server::BackgroundServer;

const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Starts a stand-in on its own thread. `handle` handles every request.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub fn start_stand_in<H, F>(
    address: SocketAddr,
    process: ProcessControl,
    handle: H,
) -> BackgroundServer
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = StandInResult> + Send + 'static,
{
    BackgroundServer::start(move |mut stop, ready| {
        let listener = open_listener(address).expect("the address can be bound");
        let address = listener.local_addr().expect("the listener has an address");
        ready(address);
        let runtime = build_runtime().expect("the runtime starts");
        runtime.block_on(async move {
            tokio::select! {
                _ = stop.wait_for(|stopped| *stopped) => {}
                () = serve_runs(listener, address, process, handle) => {}
            }
        });
    })
}

/// Serves one run after the other as `process` demands, always at `address`.
async fn serve_runs<H, F>(
    first_listener: std::net::TcpListener,
    address: SocketAddr,
    process: ProcessControl,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = StandInResult> + Send + 'static,
{
    let mut state = process.watch();
    let mut listener = Some(first_listener);
    loop {
        let target = *state.borrow_and_update();
        if target == ProcessState::Down {
            listener = None;
            process.report_reached(target);
            if state.changed().await.is_err() {
                return;
            }
            continue;
        }
        let run_listener = listener
            .take()
            .unwrap_or_else(|| open_listener(address).expect("the address can be bound again"));
        listener = run_listener.try_clone().ok();
        let run_listener =
            TcpListener::from_std(run_listener).expect("the listener joins the runtime");
        process.report_reached(target);
        tokio::select! {
            _ = state.changed() => {}
            () = serve_run(run_listener, process.watch_freezes(), handle.clone()) => {}
        }
    }
}

/// Serves one run. Dropping the future closes all connections of the run.
async fn serve_run<H, F>(listener: TcpListener, freezes: watch::Receiver<u64>, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = StandInResult> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let stream = FreezableStream::new(disable_nagle(stream), freezes.clone());
                    connections.spawn(serve_connection(stream, handle.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

fn disable_nagle(stream: TcpStream) -> TcpStream {
    stream.set_nodelay(true).expect("TCP_NODELAY can be set");
    stream
}

async fn serve_connection<H, F>(stream: FreezableStream, handle: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = StandInResult>,
{
    let served = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service_fn(handle))
        .await;
    if let Err(e) = served {
        log::debug!("lab: Connection failed: {e}.");
    }
}
