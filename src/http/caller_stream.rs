//! Server's side of a connection, which tells whether its caller has left, and ends it
//! if the caller stops reading.

use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use futures::FutureExt;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use super::ReaderLimits;
use super::caller_activity::CallerActivity;
use super::caller_presence::CallerPresence;
use super::last_reads::LAST_READS_TIME;
use super::last_reads::LastReads;
use super::send_buffer::SendBuffer;
use crate::clock::Clock;
use crate::core::fleet::ReaderProgress;

/// Number of checks for progress within the timeout of a reader. The kernel announces
/// room only once a third of the send buffer is free, so it is also asked.
const CHECKS_PER_TIMEOUT: u32 = 8;

/// Minimum interval between two such checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Connection of a caller. hyper notices its end only when it has read everything
/// before it, which may be after a request was handled: after a pause of this process,
/// request and end arrive together.
pub(super) struct CallerStream {
    stream: TokioIo<TcpStream>,
    presence: CallerPresence,
    activity: CallerActivity,
    reader: Option<WatchedReader>,
    last_reads: LastReads,
}

/// Reader of a connection that is disconnected if it stops reading.
struct WatchedReader {
    limits: ReaderLimits,
    caller: SocketAddr,
    clock: Clock,
    send_buffer: SendBuffer,
    progress: ReaderProgress,
    next_check: Pin<Box<Sleep>>,
}

impl CallerStream {
    /// Wraps an accepted connection; the other values follow its caller.
    pub fn new(
        stream: TcpStream,
        caller: SocketAddr,
        reader: Option<ReaderLimits>,
    ) -> (Self, CallerPresence, CallerActivity) {
        let presence = CallerPresence::default();
        let activity = CallerActivity::start();
        let stream = Self {
            stream: TokioIo::new(stream),
            presence: presence.clone(),
            activity: activity.clone(),
            reader: reader.map(|limits| WatchedReader::new(limits, caller)),
            last_reads: LastReads::new(),
        };
        (stream, presence, activity)
    }

    /// Returns whether the end of the caller's side has arrived, even if there is data
    /// before it.
    fn is_end_announced(&self) -> bool {
        let ready = self.stream.inner().ready(Interest::READABLE);
        matches!(ready.now_or_never(), Some(Ok(ready)) if ready.is_read_closed())
    }

    /// Returns whether bytes of the caller may be left unread when the connection is closed.
    fn needs_last_reads(&self) -> bool {
        if self.last_reads.have_begun() {
            return true;
        }
        let mut byte = [MaybeUninit::uninit()];
        let unread = SockRef::from(self.stream.inner()).peek(&mut byte);
        match unread {
            Ok(count) => count > 0,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                self.activity.needs_ordered_end(LAST_READS_TIME)
            }
            Err(_) => false,
        }
    }

    /// Follows up on a write of `buf`. While the reader takes nothing, the write is tried
    /// again from time to time, until the reader is seen as stopped.
    fn check_reader(
        &mut self,
        cx: &mut Context<'_>,
        buf: &[u8],
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let Some(reader) = &mut self.reader else {
            return written;
        };
        if written.is_ready() || buf.is_empty() {
            reader.progress.record_progress();
            return written;
        }
        reader.record_blocked();
        let stream = self.stream.inner();
        loop {
            // The kernel delivers what it holds when the process has ended. What is free is
            // used first, since tokio learns of it later.
            while self.activity.is_stopping() {
                if let Some(result) = try_send(stream, buf) {
                    reader.progress.record_progress();
                    return Poll::Ready(result);
                }
                if !reader.send_buffer.grow(stream, &self.activity) {
                    break;
                }
            }
            ready!(reader.next_check.as_mut().poll(cx));
            if let Some(result) = try_send(stream, buf) {
                reader.progress.record_progress();
                return Poll::Ready(result);
            }
            if reader.has_stopped() {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            reader.schedule_check();
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.last_reads.drop_arrived(self.stream.inner());
    }
}

impl WatchedReader {
    fn new(limits: ReaderLimits, caller: SocketAddr) -> Self {
        Self {
            progress: ReaderProgress::new(limits.timeout),
            send_buffer: SendBuffer::new(&limits.budget, caller),
            limits,
            caller,
            clock: Clock::start(),
            next_check: Box::pin(sleep(Duration::ZERO)),
        }
    }

    fn record_blocked(&mut self) {
        let now = self.clock.now();
        if self.progress.time_left(now).is_none() {
            self.progress.record_blocked(now);
            self.schedule_check();
        }
    }

    fn schedule_check(&mut self) {
        let interval = (self.limits.timeout / CHECKS_PER_TIMEOUT).max(MIN_CHECK_INTERVAL);
        self.next_check.as_mut().reset(Instant::now() + interval);
    }

    /// Returns whether the reader has stopped reading; if so, counts and logs it.
    fn has_stopped(&self) -> bool {
        let has_stopped = self.progress.has_stopped(self.clock.now());
        if has_stopped {
            self.limits.budget.count_stopped_reader();
            log::warn!(
                "http: reader stopped caller={} timeout_ms={} held_bytes={}",
                self.caller,
                self.limits.timeout.as_millis(),
                self.limits.budget.held(),
            );
        }
        has_stopped
    }
}

/// Sends bytes whether the kernel has announced room or not; `None` if there is none.
fn try_send(stream: &TcpStream, buf: &[u8]) -> Option<io::Result<usize>> {
    match SockRef::from(stream).send(buf) {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
        result => Some(result),
    }
}

/// Returns the bytes that were written; `None` if the write has to wait.
fn count_written(written: &Poll<io::Result<usize>>) -> Option<usize> {
    match written {
        Poll::Ready(Ok(count)) => Some(*count),
        Poll::Ready(Err(_)) => Some(0),
        Poll::Pending => None,
    }
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.activity.record_bytes();
        }
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
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        let written = self.check_reader(cx, buf, written);
        self.activity.record_write(count_written(&written));
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if self.needs_last_reads() {
            let this = &mut *self;
            let has_time_limit = !this.activity.has_slow_reader_at_stop();
            let stream = this.stream.inner();
            ready!(this.last_reads.poll_end(cx, stream, has_time_limit));
        }
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        let first = bufs.iter().find(|buf| !buf.is_empty());
        let first = first.map_or(&[][..], |buf| &**buf);
        let written = self.check_reader(cx, first, written);
        self.activity.record_write(count_written(&written));
        written
    }
}
