//! Hand-written serialization of frames. A frame is decoded for each token of
//! each stream, so its kind is encoded as a number instead of a name.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde::ser::SerializeSeq;

use super::Frame;
use super::StreamEvent;

const KIND_ACCEPTED: u8 = 0;
const KIND_REFUSED: u8 = 1;
const KIND_HEARTBEAT: u8 = 2;
const KIND_HEAD: u8 = 3;
const KIND_EVENT: u8 = 4;
const KIND_BODY: u8 = 5;
const KIND_END: u8 = 6;
const KIND_FAILED: u8 = 7;

impl Serialize for Frame {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Accepted(report) => serialize_one_field(serializer, KIND_ACCEPTED, report),
            Self::Refused(refusal, report) => {
                serialize_two_fields(serializer, KIND_REFUSED, refusal, report)
            }
            Self::Heartbeat => {
                let mut seq = serializer.serialize_seq(Some(1))?;
                seq.serialize_element(&KIND_HEARTBEAT)?;
                seq.end()
            }
            Self::Head(head) => serialize_one_field(serializer, KIND_HEAD, head),
            Self::Event(event) => {
                serialize_two_fields(serializer, KIND_EVENT, &event.number, &event.data)
            }
            Self::Body(chunk) => serialize_one_field(serializer, KIND_BODY, chunk),
            Self::End(report) => serialize_one_field(serializer, KIND_END, report),
            Self::Failed(outcome, reason) => {
                serialize_two_fields(serializer, KIND_FAILED, outcome, reason)
            }
        }
    }
}

fn serialize_one_field<S: Serializer, T: Serialize>(
    serializer: S,
    kind: u8,
    content: &T,
) -> Result<S::Ok, S::Error> {
    let mut seq = serializer.serialize_seq(Some(2))?;
    seq.serialize_element(&kind)?;
    seq.serialize_element(content)?;
    seq.end()
}

fn serialize_two_fields<S: Serializer, T: Serialize, U: Serialize>(
    serializer: S,
    kind: u8,
    first: &T,
    second: &U,
) -> Result<S::Ok, S::Error> {
    let mut seq = serializer.serialize_seq(Some(3))?;
    seq.serialize_element(&kind)?;
    seq.serialize_element(first)?;
    seq.serialize_element(second)?;
    seq.end()
}

impl<'de> Deserialize<'de> for Frame {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(FrameVisitor)
    }
}

struct FrameVisitor;

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = Frame;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sequence of frame kind and fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Frame, A::Error> {
        let kind: u8 = take_element(&mut seq)?;
        match kind {
            KIND_ACCEPTED => Ok(Frame::Accepted(take_element(&mut seq)?)),
            KIND_REFUSED => Ok(Frame::Refused(
                take_element(&mut seq)?,
                take_element(&mut seq)?,
            )),
            KIND_HEARTBEAT => Ok(Frame::Heartbeat),
            KIND_HEAD => Ok(Frame::Head(take_element(&mut seq)?)),
            KIND_EVENT => Ok(Frame::Event(StreamEvent {
                number: take_element(&mut seq)?,
                data: take_element::<A, Bytes>(&mut seq)?,
            })),
            KIND_BODY => Ok(Frame::Body(take_element(&mut seq)?)),
            KIND_END => Ok(Frame::End(take_element(&mut seq)?)),
            KIND_FAILED => Ok(Frame::Failed(
                take_element(&mut seq)?,
                take_element(&mut seq)?,
            )),
            other => Err(A::Error::custom(format!("unknown frame kind {other}"))),
        }
    }
}

fn take_element<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(seq: &mut A) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| A::Error::custom("frame has too few fields"))
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;
    use crate::core::AttemptRefusal;
    use crate::core::LoadReport;
    use crate::core::Outcome;
    use crate::core::ProcessIncarnation;
    use crate::core::RequestId;
    use crate::core::ResponseReport;
    use crate::core::Revision;
    use crate::relay::ResponseHead;

    fn make_report() -> ResponseReport {
        ResponseReport {
            request: RequestId::from_bits(7),
            attempt: 2,
            revision: Revision(3),
            agent: ProcessIncarnation(4),
            engine: None,
            weights: None,
            leaving: false,
            load: LoadReport::default(),
            stamp: 5,
        }
    }

    fn make_head() -> ResponseHead {
        ResponseHead {
            status: 200,
            content_type: None,
            streamed: true,
        }
    }

    fn make_event() -> StreamEvent {
        StreamEvent {
            number: 300,
            data: Bytes::from_static(b"token"),
        }
    }

    #[rstest]
    #[case::accepted(Frame::Accepted(make_report()))]
    #[case::refused(Frame::Refused(AttemptRefusal::Leaving, make_report()))]
    #[case::heartbeat(Frame::Heartbeat)]
    #[case::head(Frame::Head(make_head()))]
    #[case::event(Frame::Event(make_event()))]
    #[case::body(Frame::Body(Bytes::from_static(b"part")))]
    #[case::end(Frame::End(make_report()))]
    #[case::failed(Frame::Failed(Outcome::Unknown, "broke".into()))]
    fn deserialize_round_trip(#[case] frame: Frame) {
        let encoded = rmp_serde::to_vec(&frame).expect("the value is serializable");
        let decoded: Frame = rmp_serde::from_slice(&encoded).expect("the encoded frame is valid");
        assert_eq!(decoded, frame);
    }

    #[test]
    fn deserialize_unknown_kind() {
        let encoded = rmp_serde::to_vec(&[99]).expect("the value is serializable");
        assert!(rmp_serde::from_slice::<Frame>(&encoded).is_err());
    }

    #[test]
    fn deserialize_too_short() {
        let encoded = rmp_serde::to_vec(&[KIND_EVENT]).expect("the value is serializable");
        assert!(rmp_serde::from_slice::<Frame>(&encoded).is_err());
    }
}
