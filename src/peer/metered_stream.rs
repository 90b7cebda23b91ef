//! Counts the bytes of control connections.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Bytes of all control connections of a process since it started, as
/// [`PeerStatus`](super::PeerStatus) reports them.
#[derive(Debug, Default)]
pub struct ByteCounts {
    received: AtomicU64,
    sent: AtomicU64,
}

impl ByteCounts {
    /// Returns the bytes received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the bytes sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

/// Connection that adds its bytes to shared counts.
#[derive(Debug)]
pub(super) struct MeteredStream<S> {
    stream: S,
    counts: Arc<ByteCounts>,
}

impl<S> MeteredStream<S> {
    /// Wraps a connection; `counts` are those of the process.
    pub(super) fn new(stream: S, counts: Arc<ByteCounts>) -> Self {
        Self { stream, counts }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.counts
            .received
            .fetch_add(read as u64, Ordering::Relaxed);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &result {
            self.counts
                .sent
                .fetch_add(*written as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
