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
use tokio::time::sleep;
use tokio_util::codec::LengthDelimitedCodec;

use super::BoundedStream;
use super::ByteCounts;
use super::Peer;
use super::metered_stream::MeteredStream;
use super::service::PeerRequest;
use super::service::PeerResponse;
use crate::http::CallerActivity;
use crate::http::OpenConnections;

/// Maximum size of a control message. The largest message holds a whole rules
/// file.
pub(super) const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// Maximum number of connections of a process without a setting for them.
pub const MAX_PEER_CONNECTIONS: usize = 512;
/// Concurrent calls that are served on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 64;
/// Wait after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which sent data without acknowledgement breaks the connection.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(20);

/// Accepts connections until the future is dropped and serves each in a task with
/// `serve_connection`, to which the caller binds its service. At `max_connections`, one
/// that has brought no whole message is closed for a new one; without one, that waits.
pub async fn accept_peers<S, F>(listener: TcpListener, max_connections: usize, serve_connection: S)
where
    S: Fn(BoundedStream) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let connections = OpenConnections::new(max_connections);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("peer: Accept failed: {e}.");
                connections.close_least_useful();
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let permit = connections.make_room().await;
        let activity = CallerActivity::start();
        let open = connections.open(peer, activity.clone());
        let service = serve_connection(BoundedStream::new(stream, activity));
        tokio::spawn(async move {
            tokio::select! {
                () = service => {}
                () = open.closed_for_other() => {}
            }
            open.finish();
            drop(permit);
        });
    }
}

/// Serves the messages of one connection until it closes.
pub async fn serve_connection<P>(stream: BoundedStream, service: P, counts: Arc<ByteCounts>)
where
    P: Peer + Clone,
{
    if let Err(e) = set_socket_options(stream.get_ref()) {
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
