//! Reader of the frames that an agent sends in one HTTP response.

use std::fmt;
use std::time::Duration;

use super::DecodeError;
use super::Frame;
use super::FrameCodec;
use crate::http::ClientError;
use crate::http::Exchange;

/// Error of reading the next frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameReaderError {
    /// The connection broke, or nothing arrived within the timeout.
    Connection(ClientError),
    /// The bytes are not valid frames.
    Decode(DecodeError),
    /// The response ended before its last frame.
    Incomplete,
}

impl FrameReaderError {
    /// Returns whether only nothing arrived for a time. The response may still go on.
    pub fn is_silence(&self) -> bool {
        matches!(self, Self::Connection(ClientError::TimedOut))
    }
}

impl fmt::Display for FrameReaderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(e) => e.fmt(f),
            Self::Decode(e) => e.fmt(f),
            Self::Incomplete => f.write_str("response ended before its last frame"),
        }
    }
}

/// Reads the frames of one response in the entry. Dropping it before the last
/// frame closes the connection, which cancels the attempt at the agent.
#[derive(Debug)]
pub struct FrameReader {
    exchange: Exchange,
    codec: FrameCodec,
}

impl FrameReader {
    /// Creates a reader of the frames in the body of a response.
    pub fn new(exchange: Exchange) -> Self {
        Self {
            exchange,
            codec: FrameCodec::new(),
        }
    }

    /// Waits for the next frame, skipping heartbeats.
    ///
    /// # Errors
    ///
    /// The connection broke, nothing arrived within the timeout, the response
    /// ended before its last frame, or its bytes are not valid frames. Nothing is lost
    /// after a timeout, so that the next frame can be waited for once more.
    pub async fn next(&mut self) -> Result<Frame, FrameReaderError> {
        loop {
            match self.codec.pop_frame().map_err(FrameReaderError::Decode)? {
                Some(Frame::Heartbeat) => {}
                Some(frame) => return Ok(frame),
                None => self.read_chunk().await?,
            }
        }
    }

    /// Sets the time without any bytes after which [`Self::next`] fails.
    pub fn set_read_timeout(&mut self, read_timeout: Duration) {
        self.exchange.set_read_timeout(read_timeout);
    }

    /// Tells that the response belongs to the attempt, so that the connection can be
    /// reused after its end.
    pub fn allow_reuse(&mut self) {
        self.exchange.allow_reuse();
    }

    /// Reads the end of the body after the last frame, so that the connection
    /// can be reused.
    pub async fn finish(mut self) {
        if let Ok(Some(_)) = self.exchange.next_chunk().await {
            log::warn!("relay: Unexpected bytes after the last frame.");
        }
    }

    async fn read_chunk(&mut self) -> Result<(), FrameReaderError> {
        let chunk = self
            .exchange
            .next_chunk()
            .await
            .map_err(FrameReaderError::Connection)?;
        let chunk = chunk.ok_or(FrameReaderError::Incomplete)?;
        self.codec.push_bytes(&chunk);
        Ok(())
    }
}
