//! Connection of a [`Client`](super::Client) that is reset if its request is
//! abandoned.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

use super::HttpBody;

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
        let io = ResettingStream {
            stream: TokioIo::new(stream),
            has_request: Arc::clone(&has_request),
        };
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

/// Stream that is reset, not closed in order, if it ends while a request runs.
struct ResettingStream {
    stream: TokioIo<TcpStream>,
    has_request: Arc<AtomicBool>,
}

impl ResettingStream {
    fn has_request(&self) -> bool {
        self.has_request.load(Ordering::Acquire)
    }
}

impl Read for ResettingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for ResettingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Ends the sending side in order, unless a request runs.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.has_request() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}

impl Drop for ResettingStream {
    fn drop(&mut self) {
        if !self.has_request() {
            return;
        }
        // A close without lingering drops what was not delivered.
        let socket = SockRef::from(self.stream.inner());
        if let Err(e) = socket.set_linger(Some(Duration::ZERO)) {
            log::debug!("http: Connection is closed in order, not reset: {e}.");
        }
    }
}
