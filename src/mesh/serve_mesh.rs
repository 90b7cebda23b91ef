//! The answering end of a connection of the fleet.

use std::time::Duration;

use futures::StreamExt;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::MessagePack;
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;

use super::Mesh;
use super::service::MeshRequest;
use super::service::MeshResponse;
use crate::http::prepare_socket;

/// Bytes of one message; the largest holds a whole configuration.
pub(super) const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// Calls of one connection that are worked on at once.
const MAX_CALLS: usize = 16;

/// Time in which a peer that acknowledges nothing counts as gone.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Answers the messages of one connection until it ends.
pub async fn serve_mesh<M>(stream: TcpStream, service: M)
where
    M: Mesh + Clone,
{
    if let Err(e) = prepare_socket(&stream, DEAD_PEER_TIMEOUT) {
        log::warn!("mesh: Socket options refused: {e}.");
    }
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(stream);
    let codec =
        MessagePack::<tarpc::ClientMessage<MeshRequest>, tarpc::Response<MeshResponse>>::default();
    BaseChannel::with_defaults(serde_transport::new(framed, codec))
        .max_concurrent_requests(MAX_CALLS)
        .execute(service.serve())
        .for_each_concurrent(None, |answer| answer)
        .await;
}
