//! Protocol between entry and agent. The entry sends an attempt as one HTTP
//! request with its metadata, the envelope, in a header. The agent sends typed
//! frames in the body of the HTTP response, each as length-delimited MessagePack.

mod decode_error;
mod frame;
mod frame_codec;
mod frame_reader;
mod frame_serde;
mod frame_writer;
mod response_head;
mod stream_event;

pub use decode_error::DecodeError;
pub use frame::Frame;
pub use frame_codec::FrameCodec;
pub use frame_reader::FrameReader;
pub use frame_reader::FrameReaderError;
pub use frame_writer::FrameNotSent;
pub use frame_writer::FrameWriter;
pub use response_head::ResponseHead;
pub use stream_event::StreamEvent;

/// Header in which an entry sends the [`crate::core::Envelope`], as JSON.
pub const ENVELOPE_HEADER: &str = "x-teaseldrum-envelope";

/// Prefix of the headers that only teaseldrum's own processes may send; an entry
/// removes them from the requests of callers.
pub const INTERNAL_HEADER_PREFIX: &str = "x-teaseldrum-";
