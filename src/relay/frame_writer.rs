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
pub struct EntryDisconnected;

/// Writes the frames of one answer.
#[derive(Debug)]
pub struct FrameWriter {
    tx: BodySender,
    codec: FrameCodec,
    continues_after_disconnect: bool,
}

impl FrameWriter {
    /// Writes into the given body.
    pub fn new(tx: BodySender) -> Self {
        Self {
            tx,
            codec: FrameCodec::new(),
            continues_after_disconnect: false,
        }
    }

    /// Lets the work go on to its end though the entry is gone.
    pub fn continue_after_disconnect(&mut self) {
        self.continues_after_disconnect = true;
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// The entry is gone.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), EntryDisconnected> {
        let encoded = match self.codec.encode(frame) {
            Ok(encoded) => encoded,
            Err(e) => {
                log::error!("relay: Frame not sent: {e}.");
                return Err(EntryDisconnected);
            }
        };
        if self.tx.send(encoded).await || self.continues_after_disconnect {
            Ok(())
        } else {
            Err(EntryDisconnected)
        }
    }

    /// Waits for `work`, sending heartbeats meanwhile.
    ///
    /// # Errors
    ///
    /// The entry is gone; `work` was dropped.
    pub async fn send_heartbeats_during<F: Future>(
        &mut self,
        work: F,
    ) -> Result<F::Output, EntryDisconnected> {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                biased;
                output = &mut work => return Ok(output),
                () = self.tx.closed(), if !self.continues_after_disconnect => return Err(EntryDisconnected),
                () = sleep(HEARTBEAT_INTERVAL) => {}
            }
            self.send(&Frame::Heartbeat).await?;
        }
    }
}
