//! Encoding of frames as length-delimited MessagePack.

use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use super::DecodeError;
use super::Frame;

const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Encodes frames, and decodes them from a byte stream that arrives in chunks
/// of any size.
#[derive(Debug)]
pub struct FrameCodec {
    length_codec: LengthDelimitedCodec,
    received: BytesMut,
}

impl FrameCodec {
    /// Creates a codec with an empty receive buffer.
    pub fn new() -> Self {
        let length_codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            length_codec,
            received: BytesMut::new(),
        }
    }

    /// Encodes one frame with its length prefix.
    ///
    /// # Errors
    ///
    /// The frame cannot be serialized or is longer than 16 MiB.
    pub fn encode(&mut self, frame: &Frame) -> Result<Bytes, DecodeError> {
        let content =
            rmp_serde::to_vec(frame).map_err(|e| DecodeError::Malformed(e.to_string()))?;
        let mut buf = BytesMut::new();
        self.length_codec
            .encode(Bytes::from(content), &mut buf)
            .map_err(|_| DecodeError::TooLong)?;
        Ok(buf.freeze())
    }

    /// Appends received bytes to the buffer that [`Self::pop_frame`] decodes.
    pub fn push_bytes(&mut self, chunk: &[u8]) {
        self.received.extend_from_slice(chunk);
    }

    /// Removes the next frame from the buffer and returns it; `None` if it has
    /// not arrived completely.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid frame; nothing after them can be decoded.
    pub fn pop_frame(&mut self) -> Result<Option<Frame>, DecodeError> {
        let content = self
            .length_codec
            .decode(&mut self.received)
            .map_err(|_| DecodeError::TooLong)?;
        let Some(content) = content else {
            return Ok(None);
        };
        rmp_serde::from_slice(&content)
            .map(Some)
            .map_err(|e| DecodeError::Malformed(e.to_string()))
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::relay::StreamEvent;

    fn make_event(number: u64) -> Frame {
        Frame::Event(StreamEvent {
            number,
            data: Bytes::from_static(b"{\"x\":1}"),
        })
    }

    #[test]
    fn pop_frame_byte_by_byte() {
        let mut codec = FrameCodec::new();
        let encoded = codec
            .encode(&make_event(7))
            .expect("the frame is short enough");
        let (last, head) = encoded.split_last().expect("an encoded frame is not empty");
        for byte in head {
            codec.push_bytes(&[*byte]);
            assert_eq!(codec.pop_frame(), Ok(None));
        }
        codec.push_bytes(&[*last]);
        assert_eq!(codec.pop_frame(), Ok(Some(make_event(7))));
    }

    #[test]
    fn pop_frame_two_in_one_chunk() {
        let mut codec = FrameCodec::new();
        let mut both = codec
            .encode(&make_event(0))
            .expect("the frame is short enough")
            .to_vec();
        both.extend_from_slice(
            &codec
                .encode(&make_event(1))
                .expect("the frame is short enough"),
        );
        codec.push_bytes(&both);
        assert_eq!(codec.pop_frame(), Ok(Some(make_event(0))));
        assert_eq!(codec.pop_frame(), Ok(Some(make_event(1))));
        assert_eq!(codec.pop_frame(), Ok(None));
    }

    #[test]
    fn pop_frame_too_long() {
        let mut codec = FrameCodec::new();
        codec.push_bytes(&u32::MAX.to_be_bytes());
        assert_eq!(codec.pop_frame(), Err(DecodeError::TooLong));
    }

    #[test]
    fn pop_frame_malformed() {
        let mut codec = FrameCodec::new();
        codec.push_bytes(&[0, 0, 0, 1, 0xc1]);
        assert!(matches!(codec.pop_frame(), Err(DecodeError::Malformed(_))));
    }
}
