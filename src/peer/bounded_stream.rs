//! Connection of control messages that bounds what unfinished messages hold.

use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::http::CallerActivity;

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;

/// Size of an unfinished message that each connection may hold, in bytes. A buffer of the
/// announced size is allocated as soon as the length has arrived.
const OWN_BYTES: usize = 64 * 1024;

/// Bytes beyond those that all unfinished messages of the process may hold together.
const COMMON_BYTES: usize = 16 * 1024 * 1024;

/// Time in which a message must arrive whole.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes that unfinished messages hold beyond [`OWN_BYTES`] each.
static COMMON_HELD: AtomicUsize = AtomicUsize::new(0);

/// Connection whose reads fail once its unfinished message takes too long, or holds more
/// than is left for it.
#[derive(Debug)]
pub struct BoundedStream {
    inner: TcpStream,
    activity: CallerActivity,
    length: Vec<u8>,
    size: usize,
    missing: usize,
    began_at: Option<Instant>,
    common_held: usize,
}

impl BoundedStream {
    /// Wraps an accepted connection. Its first whole message is recorded in `activity`.
    pub fn new(inner: TcpStream, activity: CallerActivity) -> Self {
        Self {
            inner,
            activity,
            length: Vec::with_capacity(LENGTH_BYTES),
            size: 0,
            missing: 0,
            began_at: None,
            common_held: 0,
        }
    }

    /// Returns the wrapped connection.
    pub fn get_ref(&self) -> &TcpStream {
        &self.inner
    }

    /// Follows the messages in bytes that have arrived.
    fn follow(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            if self.missing == 0 {
                let (length, rest) =
                    bytes.split_at(bytes.len().min(LENGTH_BYTES - self.length.len()));
                self.length.extend_from_slice(length);
                bytes = rest;
                self.began_at.get_or_insert_with(Instant::now);
                if let Ok(length) = <[u8; LENGTH_BYTES]>::try_from(self.length.as_slice()) {
                    self.size = u32::from_be_bytes(length) as usize;
                    self.missing = self.size;
                    self.length.clear();
                }
            } else {
                let count = bytes.len().min(self.missing);
                bytes = &bytes[count..];
                self.missing -= count;
            }
            if self.missing == 0 && self.length.is_empty() {
                self.size = 0;
                self.began_at = None;
                self.activity.record_message();
            }
        }
        if self
            .began_at
            .is_some_and(|at| at.elapsed() >= MESSAGE_TIMEOUT)
        {
            return Err(io::Error::other("a control message did not arrive in time"));
        }
        self.hold(self.size.saturating_sub(OWN_BYTES))
    }

    /// Sets the bytes that are held of the common ones.
    fn hold(&mut self, bytes: usize) -> io::Result<()> {
        let others = COMMON_HELD.fetch_sub(self.common_held, Ordering::Relaxed) - self.common_held;
        self.common_held = 0;
        if others + bytes > COMMON_BYTES {
            return Err(io::Error::other("control messages hold too much memory"));
        }
        COMMON_HELD.fetch_add(bytes, Ordering::Relaxed);
        self.common_held = bytes;
        Ok(())
    }
}

impl Drop for BoundedStream {
    fn drop(&mut self) {
        COMMON_HELD.fetch_sub(self.common_held, Ordering::Relaxed);
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.activity.record_bytes();
        Poll::Ready(self.follow(&buf.filled()[before..]))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
