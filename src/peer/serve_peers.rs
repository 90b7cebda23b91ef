//! Listener for control messages: accepts connections and serves them.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::MessagePack;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::codec::LengthDelimitedCodec;

use super::ByteCounts;
use super::Peer;
use super::metered_stream::MeteredStream;
use super::service::PeerRequest;
use super::service::PeerResponse;

/// Maximum size of a control message. The largest message holds a whole rules
/// file.
pub(super) const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// Above this number new connections wait to be accepted.
const MAX_CONNECTIONS: usize = 4_096;
/// Concurrent calls that are served on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 64;
/// Wait after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which sent data without acknowledgement breaks the connection.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(20);

/// Accepts connections until the future is dropped and serves each in a task with
/// `serve_connection`, to which the caller binds its service.
pub async fn accept_peers<S, F>(listener: TcpListener, serve_connection: S)
where
    S: Fn(TcpStream) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&connections).acquire_owned().await else {
            unreachable!("connection semaphore is never closed");
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection_task = serve_connection(stream);
                tokio::spawn(async move {
                    connection_task.await;
                    drop(permit);
                });
            }
            Err(e) => {
                log::warn!("peer: Accept failed: {e}.");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the messages of one connection until it closes.
pub async fn serve_connection<P>(stream: TcpStream, service: P, counts: Arc<ByteCounts>)
where
    P: Peer + Clone,
{
    if let Err(e) = set_socket_options(&stream) {
        log::warn!("peer: Socket options not set: {e}.");
    }
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(MeteredStream::new(stream, counts));
    let codec =
        MessagePack::<tarpc::ClientMessage<PeerRequest>, tarpc::Response<PeerResponse>>::default();
    BaseChannel::with_defaults(serde_transport::new(framed, codec))
        .max_concurrent_requests(MAX_CALLS_PER_CONNECTION)
        .execute(service.serve())
        .for_each_concurrent(None, |response| response)
        .await;
}

/// Disables Nagle's algorithm and sets the keepalive and timeout options that
/// detect a dead peer on an idle connection.
pub(super) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    stream.set_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT))
}
