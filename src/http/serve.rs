//! The accept loop of a traffic listener.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use super::HttpBody;
use super::ServerLimits;
use super::set_socket_options;

const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Time for connections accepted last to send their request, before those
/// without one are closed.
const FIRST_READ_GRACE: Duration = Duration::from_millis(50);

/// Serves connections of `listener` until `drain` turns true, then lets
/// running requests finish. Returns whether all of them did. Connections that
/// the system had completed by then are served too.
///
/// `handle` gets each request with the address of its caller. If the caller
/// goes away its future, or the body it returned, is dropped.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    handle: H,
    mut drain: watch::Receiver<bool>,
) -> bool
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<HttpBody>> + Send + 'static,
{
    let connections = Arc::new(Semaphore::new(limits.max_connections));
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            biased;
            _ = drain.wait_for(|draining| *draining) => break,
            (stream, caller, permit) = accept(&listener, &connections) => {
                prepare(&stream, &limits);
                spawn_connection(stream, caller, permit, &limits, handle.clone(), &graceful);
            }
        }
    }
    while let Some(Ok((stream, caller))) = listener.accept().now_or_never() {
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            break;
        };
        prepare(&stream, &limits);
        spawn_connection(stream, caller, permit, &limits, handle.clone(), &graceful);
    }
    drop(listener);
    sleep(FIRST_READ_GRACE).await;
    timeout(limits.drain_timeout, graceful.shutdown())
        .await
        .is_ok()
}

/// Waits for room and then for a connection.
async fn accept(
    listener: &TcpListener,
    connections: &Arc<Semaphore>,
) -> (TcpStream, SocketAddr, OwnedSemaphorePermit) {
    loop {
        let Ok(permit) = Arc::clone(connections).acquire_owned().await else {
            unreachable!("the semaphore is never closed");
        };
        match listener.accept().await {
            Ok((stream, caller)) => return (stream, caller, permit),
            Err(e) => {
                log::warn!("http: Accept failed: {e}.");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Sets what tells a dead peer from a quiet one.
fn prepare(stream: &TcpStream, limits: &ServerLimits) {
    if let Err(e) = set_socket_options(stream, limits.dead_peer_timeout) {
        log::warn!("http: Socket options refused: {e}.");
    }
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    caller: SocketAddr,
    permit: OwnedSemaphorePermit,
    limits: &ServerLimits,
    handle: H,
    graceful: &GracefulShutdown,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<HttpBody>> + Send + 'static,
{
    let service = service_fn(move |req| {
        let answer = handle(req, caller);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(e) = watched.await {
            log::debug!("http: Connection ended: {e}.");
        }
        drop(permit);
    });
}
