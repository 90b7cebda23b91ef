//! Serves control connections from other processes of the fleet.

use std::time::Duration;

use futures::StreamExt;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio_util::codec::LengthDelimitedCodec;

use super::Mesh;
use super::counted_codec::CountedCodec;
use super::service::MeshRequest;
use super::service::MeshResponse;
use crate::http::set_socket_options;
use crate::peer::BoundedStream;

/// Maximum size of a message in bytes; the largest holds a whole configuration.
pub(super) const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// Maximum number of requests of one connection that are handled concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 16;

/// Time without acknowledgements after which the peer is considered dead.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves the requests of one connection until it closes.
pub async fn serve_mesh<M>(stream: BoundedStream, service: M)
where
    M: Mesh + Clone,
{
    if let Err(e) = set_socket_options(stream.get_ref(), DEAD_PEER_TIMEOUT) {
        log::warn!("mesh: Cannot set socket options: {e}.");
    }
    let host = stream
        .get_ref()
        .peer_addr()
        .ok()
        .map(|address| address.ip());
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(stream);
    let codec =
        CountedCodec::<tarpc::ClientMessage<MeshRequest>, tarpc::Response<MeshResponse>>::new(host);
    BaseChannel::with_defaults(serde_transport::new(framed, codec))
        .max_concurrent_requests(MAX_CONCURRENT_REQUESTS)
        .execute(service.serve())
        .for_each_concurrent(None, |response| response)
        .await;
}
