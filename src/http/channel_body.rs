//! A body whose chunks are produced while it is being sent.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Error of a body that ended before it was complete. It makes hyper close the
/// connection, so that the reader cannot mistake the partial body for a
/// complete one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("body aborted before its end")
    }
}

impl std::error::Error for BodyAborted {}

/// Body whose chunks come from its [`BodySender`]s.
#[derive(Debug)]
pub struct ChannelBody {
    rx: mpsc::Receiver<Result<Bytes, BodyAborted>>,
}

/// Sends the chunks of a [`ChannelBody`]. The body ends normally when all
/// clones are dropped.
#[derive(Debug, Clone)]
pub struct BodySender {
    tx: mpsc::Sender<Result<Bytes, BodyAborted>>,
}

impl ChannelBody {
    /// Creates a body and its sender. Up to `capacity` chunks are buffered.
    pub fn new(capacity: usize) -> (BodySender, Self) {
        let (tx, rx) = mpsc::channel(capacity);
        (BodySender { tx }, Self { rx })
    }
}

impl BodySender {
    /// Sends a chunk, and waits while the buffer is full. Returns false if the
    /// body was dropped, usually because its reader disconnected.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.tx.send(Ok(chunk)).await.is_ok()
    }

    /// Ends the body with [`BodyAborted`], which closes the connection.
    pub async fn abort(self) {
        // If the body was dropped, there is no connection left to close.
        let _ = self.tx.send(Err(BodyAborted)).await;
    }

    /// Waits until the body is dropped, usually because its reader
    /// disconnected.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        self.rx
            .poll_recv(cx)
            .map(|chunk| chunk.map(|result| result.map(Frame::data)))
    }
}
