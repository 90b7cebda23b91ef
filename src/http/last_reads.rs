//! Reads at the end of a connection, whose bytes are dropped.

use std::future::Future;
use std::io::ErrorKind;
use std::io::Read;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

/// Time for which the end of the caller's side is awaited.
pub(super) const LAST_READS_TIME: Duration = Duration::from_secs(2);

/// Maximum number of bytes that are read and dropped on a connection.
const MAX_DROPPED_BYTES: usize = 1024 * 1024;

const READ_BYTES: usize = 16 * 1024;

/// Reads what a caller still sends when its connection is closed. The kernel resets a
/// connection with unread bytes, and drops what the caller has not taken of the response.
pub(super) struct LastReads {
    ends_at: Option<Pin<Box<Sleep>>>,
    bytes_left: usize,
}

impl LastReads {
    /// Creates the reads of a connection that is not closed yet.
    pub fn new() -> Self {
        Self {
            ends_at: None,
            bytes_left: MAX_DROPPED_BYTES,
        }
    }

    /// Returns whether reading has begun.
    pub fn have_begun(&self) -> bool {
        self.ends_at.is_some()
    }

    /// Reads and drops bytes until the end of the caller's side, or a limit. Without
    /// `has_time_limit`, that of the time is left to the owner of the connection.
    pub fn poll_end(
        &mut self,
        cx: &mut Context<'_>,
        stream: &TcpStream,
        has_time_limit: bool,
    ) -> Poll<()> {
        let ends_at = self
            .ends_at
            .get_or_insert_with(|| Box::pin(sleep(LAST_READS_TIME)));
        if has_time_limit && ends_at.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        loop {
            if ready!(stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(());
            }
            let mut buf = [0; READ_BYTES];
            match stream.try_read(&mut buf) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Ok(count) if self.drop_bytes(count) => {}
                _ => return Poll::Ready(()),
            }
        }
    }

    /// Reads and drops the bytes that have arrived, just before the connection is closed.
    pub fn drop_arrived(&mut self, stream: &TcpStream) {
        let mut buf = [0; READ_BYTES];
        while let Ok(count) = (&*SockRef::from(stream)).read(&mut buf)
            && self.drop_bytes(count)
        {}
    }

    /// Counts bytes that were dropped. Returns whether more may be read.
    fn drop_bytes(&mut self, count: usize) -> bool {
        self.bytes_left = self.bytes_left.saturating_sub(count);
        count > 0 && self.bytes_left > 0
    }
}
