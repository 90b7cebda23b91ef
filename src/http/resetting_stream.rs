//! Stream of a client whose end withdraws a request that runs.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

/// Stream that is reset, not closed in order, if it ends while a request runs.
pub(super) struct ResettingStream {
    stream: TokioIo<TcpStream>,
    has_request: Arc<AtomicBool>,
}

impl ResettingStream {
    /// Wraps a connection; `has_request` tells whether a request runs.
    pub fn new(stream: TcpStream, has_request: Arc<AtomicBool>) -> Self {
        Self {
            stream: TokioIo::new(stream),
            has_request,
        }
    }

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
