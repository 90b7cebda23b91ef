//! Server's side of a connection, which tells whether its caller has left.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures::FutureExt;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use tokio::io::Interest;
use tokio::net::TcpStream;

use super::caller_presence::CallerPresence;

/// Connection of a caller. hyper notices its end only when it has read everything
/// before it, which may be after a request was handled: after a pause of this process,
/// request and end arrive together.
pub(super) struct CallerStream {
    stream: TokioIo<TcpStream>,
    presence: CallerPresence,
}

impl CallerStream {
    /// Wraps an accepted connection; the second value follows its caller.
    pub fn new(stream: TcpStream) -> (Self, CallerPresence) {
        let presence = CallerPresence::default();
        let stream = Self {
            stream: TokioIo::new(stream),
            presence: presence.clone(),
        };
        (stream, presence)
    }

    /// Returns whether the end of the caller's side has arrived, even if there is data
    /// before it.
    fn is_end_announced(&self) -> bool {
        let ready = self.stream.inner().ready(Interest::READABLE);
        matches!(ready.now_or_never(), Some(Ok(ready)) if ready.is_read_closed())
    }
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if result.is_ready() && self.is_end_announced() {
            self.presence.record_end();
        }
        result
    }
}

impl Write for CallerStream {
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

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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
