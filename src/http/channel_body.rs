//! A body that is filled while it is being sent.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// The body ended before it was complete; the connection is closed so that
/// the reader cannot take the part for the whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("body cut short")
    }
}

impl std::error::Error for BodyAborted {}

/// Body whose chunks come from a [`BodySender`].
#[derive(Debug)]
pub struct ChannelBody {
    rx: mpsc::Receiver<Result<Bytes, BodyAborted>>,
}

/// Fills a [`ChannelBody`]; dropping it ends the body.
#[derive(Debug, Clone)]
pub struct BodySender {
    tx: mpsc::Sender<Result<Bytes, BodyAborted>>,
}

impl ChannelBody {
    /// Creates a body and its sender; at most `capacity` chunks wait unsent.
    pub fn new(capacity: usize) -> (BodySender, Self) {
        let (tx, rx) = mpsc::channel(capacity);
        (BodySender { tx }, Self { rx })
    }
}

impl BodySender {
    /// Sends a chunk, waiting for room. Returns false if the reader is gone.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.tx.send(Ok(chunk)).await.is_ok()
    }

    /// Ends the body with an error, so that the connection is closed.
    pub async fn abort(self) {
        // A reader that is gone needs no error.
        let _ = self.tx.send(Err(BodyAborted)).await;
    }

    /// Waits until the reader is gone.
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
