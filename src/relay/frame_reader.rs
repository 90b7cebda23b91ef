//! Frames of one answer, as an entry reads them.

use std::fmt;

use super::DecodeError;
use super::Frame;
use super::FrameCodec;
use crate::http::ClientError;
use crate::http::Exchange;

/// Failure of reading the next frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameReaderError {
    /// The connection failed.
    Connection(ClientError),
    /// The bytes are no frames.
    Decode(DecodeError),
    /// The answer stopped without its last frame.
    Incomplete,
}

impl fmt::Display for FrameReaderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(e) => e.fmt(f),
            Self::Decode(e) => e.fmt(f),
            Self::Incomplete => f.write_str("answer cut short"),
        }
    }
}

/// Frames of one answer. Dropping it before the last frame closes the
/// connection, which cancels the request at the agent.
#[derive(Debug)]
pub struct FrameReader {
    exchange: Exchange,
    codec: FrameCodec,
}

impl FrameReader {
    /// Reads the frames of an answer.
    pub fn new(exchange: Exchange) -> Self {
        Self {
            exchange,
            codec: FrameCodec::new(),
        }
    }

    /// Waits for the next frame that is not a heartbeat.
    ///
    /// # Errors
    ///
    /// The connection failed or went silent, or the answer is cut short.
    pub async fn next(&mut self) -> Result<Frame, FrameReaderError> {
        loop {
            match self.codec.pop_frame().map_err(FrameReaderError::Decode)? {
                Some(Frame::Heartbeat) => {}
                Some(frame) => return Ok(frame),
                None => self.read_chunk().await?,
            }
        }
    }

    /// Reads to the end of the body after the last frame, so that the
    /// connection can be used again.
    pub async fn finish(mut self) {
        if let Ok(Some(_)) = self.exchange.next_chunk().await {
            log::warn!("relay: Bytes after the last frame.");
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
