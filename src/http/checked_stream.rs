//! Stream of a client connection that checks that nothing has arrived before a request is
//! written.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Stream whose first write of each request fails if something is there to be read: it
/// would be taken for the response, but was sent before the request.
#[derive(Debug)]
pub(super) struct CheckedStream {
    stream: TcpStream,
    /// Whether no byte of the current request was written.
    is_unwritten: Arc<AtomicBool>,
}

impl CheckedStream {
    /// Wraps a stream; `is_unwritten` is set by its owner before each request, and cleared
    /// here by the first write.
    pub fn new(stream: TcpStream, is_unwritten: Arc<AtomicBool>) -> Self {
        Self {
            stream,
            is_unwritten,
        }
    }

    /// Returns the wrapped stream.
    pub fn inner(&self) -> &TcpStream {
        &self.stream
    }

    fn check_before_write(&self) -> io::Result<()> {
        if self.is_unwritten.load(Ordering::Acquire) && has_unread_input(&self.stream) {
            return Err(io::Error::other("input before the request"));
        }
        Ok(())
    }

    fn record_write(&self, result: io::Result<usize>) -> Poll<io::Result<usize>> {
        if result.as_ref().is_ok_and(|&count| count > 0) {
            self.is_unwritten.store(false, Ordering::Release);
        }
        Poll::Ready(result)
    }
}

/// Returns whether bytes or the end of the stream wait to be read. Asks the kernel, since
/// the runtime may not have heard of them yet.
fn has_unread_input(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_before_write()?;
        let result = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_before_write()?;
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
