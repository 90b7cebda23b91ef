//! Opens control connections to other processes of the fleet.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client;
use tarpc::serde_transport;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

use super::MeshClient;
use super::counted_codec::CountedCodec;
use super::serve_mesh::MAX_MESSAGE_BYTES;
use crate::http::set_socket_options;

/// Timeout for connecting; zones are milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without acknowledgements after which the peer is considered dead.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens a control connection to a process of the fleet.
///
/// # Errors
///
/// The process cannot be reached within the timeout.
pub async fn connect_mesh(address: SocketAddr) -> io::Result<MeshClient> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream, DEAD_PEER_TIMEOUT)?;
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(stream);
    let transport = serde_transport::new(framed, CountedCodec::new(Some(address.ip())));
    Ok(MeshClient::new(client::Config::default(), transport).spawn())
}
