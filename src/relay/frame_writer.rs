//! Frames of one answer, as an agent writes them.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::sleep;

use super::Frame;
use super::FrameCodec;
use crate::http::BodySender;

/// Time between heartbeats while the backend server is silent.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The entry is gone; the request is to be cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryGone;

/// Writes the frames of one answer.
#[derive(Debug)]
pub struct FrameWriter {
    tx: BodySender,
    codec: FrameCodec,
    outlives_entry: bool,
}

impl FrameWriter {
    /// Writes into the given body.
    pub fn new(tx: BodySender) -> Self {
        Self {
            tx,
            codec: FrameCodec::new(),
            outlives_entry: false,
        }
    }

    /// Lets the work go on to its end though the entry is gone.
    pub fn outlive_entry(&mut self) {
        self.outlives_entry = true;
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// The entry is gone.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), EntryGone> {
        let encoded = match self.codec.encode(frame) {
            Ok(encoded) => encoded,
            Err(e) => {
                log::error!("relay: Frame not sent: {e}.");
                return Err(EntryGone);
            }
        };
        if self.tx.send(encoded).await || self.outlives_entry {
            Ok(())
        } else {
            Err(EntryGone)
        }
    }

    /// Waits for `work`, sending heartbeats meanwhile.
    ///
    /// # Errors
    ///
    /// The entry is gone; `work` was dropped.
    pub async fn beat_during<F: Future>(&mut self, work: F) -> Result<F::Output, EntryGone> {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                biased;
                output = &mut work => return Ok(output),
                () = self.tx.closed(), if !self.outlives_entry => return Err(EntryGone),
                () = sleep(HEARTBEAT_INTERVAL) => {}
            }
            self.send(&Frame::Heartbeat).await?;
        }
    }
}
