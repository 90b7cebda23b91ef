//! The accept loop of an HTTP listener, with a limit on connections and a
//! graceful drain.

use std::error::Error;
use std::future::Future;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use futures::FutureExt;
use futures::TryFutureExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use super::HttpBody;
use super::ServerLimits;
use super::caller_activity::CallerActivity;
use super::caller_activity::LAST_REQUEST_TIME;
use super::caller_left::CallerLeft;
use super::caller_presence::CallerPresence;
use super::caller_stream::CallerStream;
use super::handled_body::HandledBody;
use super::open_connections::OpenConnections;
use super::set_socket_options;

/// Pause after a failed accept, before the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections that are accepted before they are served.
const MAX_ACCEPT_BATCH: usize = 64;

/// Interval between checks whether a request is still expected on a connection that is to
/// be closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Open connections of a listener, and whether they are to be closed.
struct Connections {
    open: OpenConnections,
    tasks: TaskTracker,
    is_closing: watch::Sender<bool>,
}

/// Time for the connections accepted last to send their first request, before
/// the drain closes connections without one.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(50);

/// Serves connections of `listener` until `drain` becomes true, then accepts
/// those that the kernel has already completed, up to the connection limit, and
/// waits for running requests, and for slow readers of what the kernel holds. Returns
/// whether all responses were written within `limits.drain_timeout`.
///
/// `handle` receives each request and the address of its caller. If the caller
/// disconnects, the future or the body that it returned is dropped.
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
    let connections = Connections {
        open: OpenConnections::new(limits.max_connections),
        tasks: TaskTracker::new(),
        is_closing: watch::Sender::default(),
    };
    let mut waiting = None;
    loop {
        let first = tokio::select! {
            biased;
            _ = drain.wait_for(|draining| *draining) => None,
            first = accept(&listener, &mut waiting, &connections.open) => Some(first),
        };
        let Some(first) = first else {
            break;
        };
        let mut accepted = vec![first];
        while accepted.len() < MAX_ACCEPT_BATCH
            && let Some(next) = accept(&listener, &mut waiting, &connections.open).now_or_never()
        {
            accepted.push(next);
        }
        spawn_connections(accepted, &limits, &handle, &connections).await;
    }
    let mut accepted = Vec::new();
    while let Some((stream, caller)) = waiting
        .take()
        .or_else(|| listener.accept().now_or_never()?.ok())
    {
        let Some(permit) = connections.open.try_permit() else {
            break;
        };
        accepted.push((stream, caller, permit));
    }
    spawn_connections(accepted, &limits, &handle, &connections).await;
    drop(listener);
    sleep(FIRST_REQUEST_GRACE).await;
    connections.is_closing.send_replace(true);
    connections.tasks.close();
    let ended = timeout(limits.drain_timeout, connections.tasks.wait()).await;
    ended.is_ok() || !connections.open.has_unwritten_response()
}

/// Accepts a connection. At the connection limit, closes the least useful one for it, or
/// waits until one ends; it is kept in `waiting` meanwhile.
async fn accept(
    listener: &TcpListener,
    waiting: &mut Option<(TcpStream, SocketAddr)>,
    open: &OpenConnections,
) -> (TcpStream, SocketAddr, OwnedSemaphorePermit) {
    while waiting.is_none() {
        match listener.accept().await {
            Ok(accepted) => *waiting = Some(accepted),
            Err(e) => {
                log::warn!("http: Cannot accept a connection: {e}.");
                open.close_least_useful();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    let permit = open.make_room().await;
    let Some((stream, caller)) = waiting.take() else {
        unreachable!("a connection was accepted");
    };
    (stream, caller, permit)
}

/// Sets the socket options. A connection without them is still served, but its
/// dead peer is detected later.
fn apply_socket_options(stream: &TcpStream, limits: &ServerLimits) {
    if let Err(e) = set_socket_options(stream, limits.dead_peer_timeout) {
        log::warn!("http: Cannot set socket options: {e}.");
    }
    // Without it, the kernel takes megabytes for a slow reader.
    if let Some(reader) = &limits.reader
        && let Err(e) =
            SockRef::from(stream).set_send_buffer_size(reader.send_buffer_bytes as usize)
    {
        log::warn!("http: Cannot set the send buffer: {e}.");
    }
}

/// Serves accepted connections, the first one first. Before that, their first events are
/// awaited: an accepted stream counts as readable without one, and only the event tells
/// that its caller has left.
async fn spawn_connections<H, F>(
    accepted: Vec<(TcpStream, SocketAddr, OwnedSemaphorePermit)>,
    limits: &ServerLimits,
    handle: &H,
    connections: &Connections,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<HttpBody>> + Send + 'static,
{
    yield_now().await;
    for (stream, caller, permit) in accepted {
        apply_socket_options(&stream, limits);
        spawn_connection(stream, caller, permit, limits, handle.clone(), connections);
    }
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    caller: SocketAddr,
    permit: OwnedSemaphorePermit,
    limits: &ServerLimits,
    handle: H,
    connections: &Connections,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + 'static,
    F: Future<Output = Response<HttpBody>> + Send + 'static,
{
    let (stream, presence, activity) = CallerStream::new(stream, caller, limits.reader.clone());
    let (closing, drain_activity) = (connections.is_closing.subscribe(), activity.clone());
    let service = service_fn(move |mut req: Request<Incoming>| {
        activity.begin_request(req.body().is_end_stream());
        req.extensions_mut().insert(activity.clone());
        let response = handle(req, caller);
        let activity = activity.clone();
        let response = respond_unless_left(response, presence.clone());
        response.map_ok(move |response| response.map(|body| HandledBody::new(body, activity)))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(stream, service);
    let open = connections.open.open(caller, drain_activity.clone());
    connections.tasks.spawn(async move {
        let _permit = permit;
        tokio::select! {
            () = serve_connection(connection, closing, &drain_activity) => {}
            () = open.closed_for_other() => {}
        }
        open.finish();
    });
}

/// Serves a connection to its end. Once connections are to be closed, ends it with the
/// request that is handled or expected.
async fn serve_connection<S>(
    connection: http1::Connection<CallerStream, S>,
    closing: watch::Receiver<bool>,
    activity: &CallerActivity,
) where
    S: HttpService<Incoming, ResBody = HandledBody>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut connection = pin!(connection);
    let drained_from = tokio::select! {
        ended = connection.as_mut() => return log_end(ended),
        drained_from = wait_until_idle(closing, activity) => drained_from,
    };
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        ended = connection.as_mut() => return log_end(ended),
        () = sleep_until(drained_from + LAST_REQUEST_TIME) => {}
    }
    // A request that becomes whole from now on would be cut off at the end.
    if !activity.is_within_head() {
        log_end(connection.await);
    }
}

fn log_end(ended: hyper::Result<()>) {
    if let Err(e) = ended {
        log::debug!("http: Connection ended: {e}.");
    }
}

/// Waits until connections are to be closed and no request is expected on this one, but
/// not longer than a drain accepts requests. Returns when the drain began.
async fn wait_until_idle(mut closing: watch::Receiver<bool>, activity: &CallerActivity) -> Instant {
    // An error means that the server has ended, which closes connections as well.
    let _ = closing.wait_for(|is_closing| *is_closing).await;
    let drained_from = Instant::now();
    activity.begin_stop();
    while activity.expects_request(drained_from) {
        sleep(IDLE_CHECK_INTERVAL).await;
    }
    drained_from
}

/// Polls `response` as long as the caller is present.
async fn respond_unless_left(
    response: impl Future<Output = Response<HttpBody>>,
    presence: CallerPresence,
) -> Result<Response<HttpBody>, CallerLeft> {
    let mut response = pin!(response);
    poll_fn(|cx| {
        if presence.has_left() {
            return Poll::Ready(Err(CallerLeft));
        }
        response.as_mut().poll(cx).map(Ok)
    })
    .await
}
