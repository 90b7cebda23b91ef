//! Connection of a [`Client`](super::Client) that is reset if its request is
//! abandoned.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use tokio::net::TcpStream;

use super::HttpBody;
use super::resetting_stream::ResettingStream;

/// Maximum size of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Connection over which one request at a time is sent.
///
/// If it ends between [`Self::begin_request`] and [`Self::end_request`], it is reset:
/// an orderly close would still deliver what the server's host has not taken yet,
/// such as a whole request to a host that stands still.
#[derive(Debug)]
pub(super) struct ClientConnection {
    /// Sends requests; hyper's side of the connection runs in a task of its own.
    pub sender: SendRequest<HttpBody>,
    has_request: Arc<AtomicBool>,
}

impl ClientConnection {
    /// Starts HTTP on a new connection; `stream` is driven by a spawned task.
    ///
    /// # Errors
    ///
    /// The handshake fails.
    pub async fn start(stream: TcpStream) -> hyper::Result<Self> {
        let address = stream.peer_addr();
        let has_request = Arc::new(AtomicBool::new(false));
        let io = ResettingStream::new(stream, Arc::clone(&has_request));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("http: Connection to {address:?} ended: {e}.");
            }
        });
        Ok(Self {
            sender,
            has_request,
        })
    }

    /// Marks that a request is about to be sent.
    pub fn begin_request(&self) {
        self.has_request.store(true, Ordering::Release);
    }

    /// Marks that the whole response has arrived.
    pub fn end_request(&self) {
        self.has_request.store(false, Ordering::Release);
    }
}
