//! TCP connection that a test can freeze, as when a middlebox drops its state.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// TCP connection that a test can freeze, as when a middlebox between the two
/// ends drops its state: written bytes are discarded, reads wait forever, and
/// the other end gets no close.
#[derive(Debug)]
pub struct FreezableStream {
    stream: TcpStream,
    freezes: watch::Receiver<u64>,
    freezes_at_start: u64,
}

impl FreezableStream {
    /// Wraps a connection. It freezes when the count in `freezes` changes.
    pub fn new(stream: TcpStream, freezes: watch::Receiver<u64>) -> Self {
        let freezes_at_start = *freezes.borrow();
        Self {
            stream,
            freezes,
            freezes_at_start,
        }
    }

    fn is_frozen(&self) -> bool {
        *self.freezes.borrow() != self.freezes_at_start
    }
}

impl AsyncRead for FreezableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_frozen() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for FreezableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_frozen() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_frozen() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
