//! Measures the time to encode and decode one event frame of the relay protocol
//! between agent and entry.

use std::time::Instant;

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use teaseldrum::relay::Frame;
use teaseldrum::relay::FrameCodec;
use teaseldrum::relay::StreamEvent;

const FRAMES: u64 = 200_000;
/// Size of the data of each event.
const EVENT_BYTES: usize = 120;

/// Encodes and decodes event frames one at a time. The seed is not used.
pub fn run(_seed: u64) -> Value {
    let mut codec = FrameCodec::new();
    let data = Bytes::from(vec![b'x'; EVENT_BYTES]);
    let began = Instant::now();
    let decoded = (0..FRAMES)
        .filter(|number| round_trip_frame(&mut codec, *number, &data))
        .count();
    let nanos = began.elapsed().as_nanos();
    json!({
        "bench": "relay-codec",
        "frames": decoded,
        "event_bytes": EVENT_BYTES,
        "ns_per_frame": nanos / u128::from(FRAMES),
    })
}

fn round_trip_frame(codec: &mut FrameCodec, number: u64, data: &Bytes) -> bool {
    let event = StreamEvent {
        number,
        data: data.clone(),
    };
    let encoded = codec
        .encode(&Frame::Event(event))
        .expect("frame is within the size limit");
    codec.push_bytes(&encoded);
    matches!(codec.pop_frame(), Ok(Some(Frame::Event(_))))
}
