//! What an agent sends an entry while a request runs: typed frames, each
//! length-delimited MessagePack, in the body of one HTTP answer.

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
pub use frame_writer::EntryDisconnected;
pub use frame_writer::FrameWriter;
pub use response_head::ResponseHead;
pub use stream_event::StreamEvent;

/// Header in which an entry sends the envelope.
pub const ENVELOPE_HEADER: &str = "x-teaseldrum-envelope";

/// Prefix of all headers that only teaseldrum's own processes may send.
pub const INTERNAL_HEADER_PREFIX: &str = "x-teaseldrum-";
