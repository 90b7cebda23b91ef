//! Passes an answer on to its caller as it arrives.

use std::sync::Arc;

use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::time::Instant;

use super::AnswerError;
use super::EntryContext;
use super::ErrorCode;
use super::answer_error::OUTCOME_HEADER;
use super::answer_error::REQUEST_ID_HEADER;
use super::attempt::Answer;
use super::key_watch::KeyWatch;
use super::key_watch::refuse_withdrawn;
use super::meter::Meter;
use super::resumer::Resumer;
use crate::core::AttemptRefusal;
use crate::core::Outcome;
use crate::core::RequestId;
use crate::http::AnswerBody;
use crate::http::BodySender;
use crate::http::ChannelBody;
use crate::http::write_event;
use crate::relay::Frame;
use crate::relay::FrameReader;
use crate::timeline::EventKind;

const CHUNKS_IN_FLIGHT: usize = 64;

/// Code under which whole answers are counted.
const COMPLETE: &str = "complete";

/// Code under which answers are counted that no caller waited for.
const CALLER_GONE: &str = "caller-gone";

/// Last event of a complete stream.
const END_OF_STREAM: &str = "[DONE]";

/// Starts to pass an answer on and returns its head at once.
pub fn relay_answer(
    cx: Arc<EntryContext>,
    resumer: Resumer,
    answer: Answer,
    watched: Watched,
) -> Response<AnswerBody> {
    let request = resumer.envelope.request;
    let (tx, body) = ChannelBody::new(CHUNKS_IN_FLIGHT);
    let mut builder = Response::builder()
        .status(answer.head.status)
        .header(OUTCOME_HEADER, Outcome::Ran.as_str())
        .header(REQUEST_ID_HEADER, request.to_string());
    if let Some(content_type) = &answer.head.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    let relay = Relay {
        cx,
        request,
        resumer,
        streamed: answer.head.streamed,
        next_number: 0,
        saw_end: false,
        tx,
        watched,
    };
    tokio::spawn(relay.run(answer.frames));
    builder.body(body.boxed_unsync()).unwrap_or_else(|_| {
        let problem = "The server's answer has a malformed head.";
        AnswerError::new(ErrorCode::ServerFailed, Outcome::Ran, problem).to_response(request)
    })
}

/// What is watched while an answer is passed on.
#[derive(Debug)]
pub struct Watched {
    /// When the head of the request came.
    pub begun: Instant,
    /// Whether the key of the request still opens its account.
    pub key: KeyWatch,
    /// Charge of the request; none on an open route.
    pub meter: Option<Meter>,
}

struct Relay {
    cx: Arc<EntryContext>,
    request: RequestId,
    resumer: Resumer,
    streamed: bool,
    next_number: u64,
    saw_end: bool,
    tx: BodySender,
    watched: Watched,
}

/// What to do after a frame.
enum Step {
    Continue,
    Complete,
    Fail(String),
    KeyWithdrawn,
    CallerGone,
}

impl Relay {
    async fn run(mut self, mut frames: FrameReader) {
        loop {
            let frame = tokio::select! {
                frame = frames.next() => frame,
                () = self.tx.closed() => return self.end_without_caller(),
                () = self.watched.key.wait() => return self.withdraw().await,
            };
            let step = match frame {
                Ok(frame) => self.pass(frame).await,
                Err(e) => match self.resume().await {
                    Some(resumed) => {
                        frames = resumed;
                        Step::Continue
                    }
                    None => Step::Fail(e.to_string()),
                },
            };
            match step {
                Step::Continue => {}
                Step::Complete => {
                    self.end(COMPLETE, Outcome::Ran);
                    drop(self.tx);
                    return frames.finish().await;
                }
                Step::Fail(reason) => return self.fail(&reason).await,
                Step::KeyWithdrawn => return self.withdraw().await,
                Step::CallerGone => return self.end_without_caller(),
            }
        }
    }

    /// Goes on over a new connection after the last event that arrived.
    async fn resume(&mut self) -> Option<FrameReader> {
        if !self.streamed || self.saw_end {
            return None;
        }
        let last = self.next_number.checked_sub(1)?;
        self.resumer.resume(&self.cx, last).await
    }

    async fn pass(&mut self, frame: Frame) -> Step {
        match frame {
            Frame::Event(event) => {
                if event.number != self.next_number {
                    return Step::Fail("events out of order".into());
                }
                if self.next_number == 0 {
                    self.record(EventKind::FirstToken);
                    let elapsed = self.watched.begun.elapsed();
                    self.cx.metrics.count_first_token(elapsed);
                }
                self.next_number += 1;
                let Ok(data) = std::str::from_utf8(&event.data) else {
                    return Step::Fail("event is not text".into());
                };
                self.saw_end = data == END_OF_STREAM;
                if let Some(meter) = &mut self.watched.meter {
                    meter.read_event(data);
                }
                let written = write_event(&event.number.to_string(), "", data);
                self.forward(written).await
            }
            Frame::Body(chunk) => {
                if let Some(meter) = &mut self.watched.meter {
                    meter.read_chunk(&chunk);
                }
                self.forward(chunk).await
            }
            Frame::End(report) => {
                self.cx.observe(&self.resumer.choice.name, report);
                if self.streamed && !self.saw_end {
                    return Step::Fail("stream without its end".into());
                }
                if let Some(meter) = &mut self.watched.meter {
                    meter.finish();
                }
                Step::Complete
            }
            Frame::Heartbeat => Step::Continue,
            Frame::Failed(_, reason) => Step::Fail(reason),
            Frame::Refused(AttemptRefusal::KeyWithdrawn, _) => Step::KeyWithdrawn,
            Frame::Accepted(_) | Frame::Refused(..) | Frame::Head(_) => {
                Step::Fail("second head".into())
            }
        }
    }

    async fn forward(&self, chunk: bytes::Bytes) -> Step {
        if self.tx.send(chunk).await {
            Step::Continue
        } else {
            Step::CallerGone
        }
    }

    async fn fail(self, reason: &str) {
        log::warn!("entry: Answer of request {} broke: {reason}.", self.request);
        let message = format!("The answer broke off: {reason}.");
        let error = AnswerError::new(ErrorCode::AnswerCut, Outcome::Unknown, message);
        self.end_with(error).await;
    }

    /// Stops a request whose key has been withdrawn.
    async fn withdraw(self) {
        log::info!("entry: Key of request {} was withdrawn.", self.request);
        self.end_with(refuse_withdrawn(Outcome::Ran)).await;
    }

    /// Ends a stream with an error event; cuts any other body.
    async fn end_with(self, error: AnswerError) {
        self.end(error.code.as_str(), error.outcome);
        if self.streamed {
            self.tx.send(error.to_event(self.request)).await;
        } else {
            self.tx.cut().await;
        }
    }

    fn end_without_caller(self) {
        self.cx.metrics.count_answer(CALLER_GONE, Outcome::Unknown);
        self.record(EventKind::CallerGone);
    }

    fn end(&self, code: &'static str, outcome: Outcome) {
        self.cx.metrics.count_answer(code, outcome);
        self.record(EventKind::Ended(outcome));
    }

    fn record(&self, kind: EventKind) {
        self.cx.timeline.record(Some(self.request), kind);
    }
}
