//! Writer of the frames that an agent sends in one HTTP response.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::sleep;

use super::Frame;
use super::FrameCodec;
use crate::http::BodySender;

/// Time between heartbeats while the agent waits for the backend server.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A frame was not sent: the entry closed the connection, or the frame could not
/// be encoded. The agent then cancels the attempt. After
/// [`FrameWriter::continue_after_disconnect`], only an encoding error leads to
/// this.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameNotSent;

/// Writes the frames of one response in the agent and sends heartbeats while it
/// waits for the backend server.
#[derive(Debug)]
pub struct FrameWriter {
    tx: BodySender,
    codec: FrameCodec,
    continues_after_disconnect: bool,
}

impl FrameWriter {
    /// Creates a writer that sends frames into a response body.
    pub fn new(tx: BodySender) -> Self {
        Self {
            tx,
            codec: FrameCodec::new(),
            continues_after_disconnect: false,
        }
    }

    /// Makes [`Self::send`] and [`Self::send_heartbeats_during`] ignore that the
    /// entry has disconnected, so that the attempt runs to its end.
    pub fn continue_after_disconnect(&mut self) {
        self.continues_after_disconnect = true;
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// The entry has disconnected, or the frame cannot be encoded.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), FrameNotSent> {
        let encoded = match self.codec.encode(frame) {
            Ok(encoded) => encoded,
            Err(e) => {
                log::error!("relay: Frame not sent: {e}.");
                return Err(FrameNotSent);
            }
        };
        if self.tx.send(encoded).await || self.continues_after_disconnect {
            Ok(())
        } else {
            Err(FrameNotSent)
        }
    }

    /// Waits for `work` and sends a heartbeat every `HEARTBEAT_INTERVAL` until it
    /// is done.
    ///
    /// # Errors
    ///
    /// The entry has disconnected, or the heartbeat cannot be encoded; `work` was
    /// dropped.
    pub async fn send_heartbeats_during<F: Future>(
        &mut self,
        work: F,
    ) -> Result<F::Output, FrameNotSent> {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                biased;
                output = &mut work => return Ok(output),
                () = self.tx.closed(), if !self.continues_after_disconnect => return Err(FrameNotSent),
                () = sleep(HEARTBEAT_INTERVAL) => {}
            }
            self.send(&Frame::Heartbeat).await?;
        }
    }
}
