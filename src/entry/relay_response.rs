//! Relays an agent's response to the caller while it arrives, and resumes a
//! broken stream.

use std::sync::Arc;

use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::time::Instant;

use super::EntryContext;
use super::ErrorCode;
use super::ErrorResponse;
use super::attempt::AgentResponse;
use super::error_response::OUTCOME_HEADER;
use super::error_response::REQUEST_ID_HEADER;
use super::key_watch::KeyWatch;
use super::key_watch::key_withdrawn_error;
use super::stream_resumer::StreamResumer;
use super::token_meter::TokenMeter;
use crate::core::AttemptRefusal;
use crate::core::Outcome;
use crate::core::RequestId;
use crate::http::BodySender;
use crate::http::ChannelBody;
use crate::http::HttpBody;
use crate::http::write_event;
use crate::relay::Frame;
use crate::relay::FrameReader;
use crate::timeline::EventKind;

const MAX_QUEUED_CHUNKS: usize = 64;

/// Metrics code of responses that were relayed completely.
const COMPLETE_CODE: &str = "complete";

/// Metrics code of responses whose caller disconnected.
const CALLER_GONE_CODE: &str = "caller-gone";

/// Data of the event that ends a complete stream.
const DONE_MARKER: &str = "[DONE]";

/// Starts a task that relays a response, and returns the response with its head
/// immediately.
pub fn relay_response(
    cx: Arc<EntryContext>,
    resumer: StreamResumer,
    response: AgentResponse,
    context: RelayContext,
) -> Response<HttpBody> {
    let request = resumer.envelope.request;
    let (body_tx, body) = ChannelBody::new(MAX_QUEUED_CHUNKS);
    let mut builder = Response::builder()
        .status(response.head.status)
        .header(OUTCOME_HEADER, Outcome::Ran.as_str())
        .header(REQUEST_ID_HEADER, request.to_string());
    if let Some(content_type) = &response.head.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    let relay = ResponseRelay {
        cx,
        request,
        resumer,
        streamed: response.head.streamed,
        next_event: 0,
        last_event_is_done_marker: false,
        body_tx,
        context,
    };
    tokio::spawn(relay.run(response.frames));
    builder.body(body.boxed_unsync()).unwrap_or_else(|_| {
        let message = "The server's answer has a malformed head.";
        ErrorResponse::new(ErrorCode::ServerFailed, Outcome::Ran, message).to_response(request)
    })
}

/// What the relay needs to know about the request of a response.
#[derive(Debug)]
pub struct RelayContext {
    /// When the head of the request arrived.
    pub received_at: Instant,
    /// Until when a silent agent is waited for.
    pub deadline: Instant,
    /// Ends the response when the API key of the request is withdrawn.
    pub key: KeyWatch,
    /// Charge of the request; `None` if it runs for no account.
    pub meter: Option<TokenMeter>,
}

struct ResponseRelay {
    cx: Arc<EntryContext>,
    request: RequestId,
    resumer: StreamResumer,
    streamed: bool,
    next_event: u64,
    last_event_is_done_marker: bool,
    body_tx: BodySender,
    context: RelayContext,
}

/// What the relay does after a frame.
enum RelayStep {
    Continue,
    Complete,
    Fail(String),
    KeyWithdrawn,
    CallerGone,
}

impl ResponseRelay {
    async fn run(mut self, mut frames: FrameReader) {
        loop {
            let frame = tokio::select! {
                frame = frames.next() => frame,
                () = self.body_tx.closed() => return self.end_caller_gone(),
                () = self.context.key.withdrawn() => return self.end_key_withdrawn().await,
            };
            let step = match frame {
                Ok(frame) => self.relay_frame(frame).await,
                Err(e) => match self.resume().await {
                    Some(resumed) => {
                        frames = resumed;
                        RelayStep::Continue
                    }
                    // The agent's host may only stand still; its connection is kept.
                    None if e.is_silence() && Instant::now() < self.context.deadline => {
                        RelayStep::Continue
                    }
                    None => RelayStep::Fail(e.to_string()),
                },
            };
            match step {
                RelayStep::Continue => {}
                RelayStep::Complete => {
                    self.record_end(COMPLETE_CODE, Outcome::Ran);
                    drop(self.body_tx);
                    return frames.finish().await;
                }
                RelayStep::Fail(reason) => return self.end_failed(&reason).await,
                RelayStep::KeyWithdrawn => return self.end_key_withdrawn().await,
                RelayStep::CallerGone => return self.end_caller_gone(),
            }
        }
    }

    /// Resumes the stream over a new connection after the last event that
    /// arrived. Returns `None` if no event arrived, the last one was `[DONE]`, or
    /// the stream cannot be resumed.
    async fn resume(&mut self) -> Option<FrameReader> {
        if !self.streamed || self.last_event_is_done_marker {
            return None;
        }
        let last_event = self.next_event.checked_sub(1)?;
        self.resumer.resume(&self.cx, last_event).await
    }

    async fn relay_frame(&mut self, frame: Frame) -> RelayStep {
        match frame {
            Frame::Event(event) => {
                if event.number != self.next_event {
                    return RelayStep::Fail("events out of order".into());
                }
                // The first event counts as the first token, whatever it holds.
                if self.next_event == 0 {
                    self.record_event(EventKind::FirstToken);
                    let elapsed = self.context.received_at.elapsed();
                    self.cx.metrics.observe_first_token(elapsed);
                }
                self.next_event += 1;
                let Ok(data) = std::str::from_utf8(&event.data) else {
                    return RelayStep::Fail("event is not valid UTF-8".into());
                };
                self.last_event_is_done_marker = data == DONE_MARKER;
                if let Some(meter) = &mut self.context.meter {
                    meter.read_event(data);
                }
                let encoded = write_event(&event.number.to_string(), "", data);
                self.forward(encoded).await
            }
            Frame::Body(chunk) => {
                if let Some(meter) = &mut self.context.meter {
                    meter.read_chunk(&chunk);
                }
                self.forward(chunk).await
            }
            Frame::End(report) => {
                self.cx.record_report(&self.resumer.server.name, report);
                if self.streamed && !self.last_event_is_done_marker {
                    return RelayStep::Fail("stream ended without [DONE]".into());
                }
                if let Some(meter) = &mut self.context.meter {
                    meter.finish();
                }
                RelayStep::Complete
            }
            Frame::Heartbeat => RelayStep::Continue,
            Frame::Failed(_, reason) => RelayStep::Fail(reason),
            Frame::Refused(AttemptRefusal::KeyWithdrawn, _) => RelayStep::KeyWithdrawn,
            Frame::Accepted(_) | Frame::Refused(..) | Frame::Head(_) => {
                RelayStep::Fail("unexpected frame after the response head".into())
            }
        }
    }

    async fn forward(&self, chunk: bytes::Bytes) -> RelayStep {
        if self.body_tx.send(chunk).await {
            RelayStep::Continue
        } else {
            RelayStep::CallerGone
        }
    }

    async fn end_failed(self, reason: &str) {
        log::warn!(
            "entry: Response to request {} broke off: {reason}.",
            self.request
        );
        let message = format!("The answer broke off: {reason}.");
        let error = ErrorResponse::new(ErrorCode::AnswerCut, Outcome::Unknown, message);
        self.end_with_error(error).await;
    }

    /// Ends the response because the API key of the request was withdrawn.
    async fn end_key_withdrawn(self) {
        log::info!(
            "entry: Request {} was stopped: its API key was withdrawn.",
            self.request
        );
        self.end_with_error(key_withdrawn_error(Outcome::Ran)).await;
    }

    /// Ends a stream with an error event, and any other body by closing the
    /// connection.
    async fn end_with_error(self, error: ErrorResponse) {
        self.record_end(error.code.as_str(), error.outcome);
        if self.streamed {
            self.body_tx.send(error.to_event(self.request)).await;
        } else {
            self.body_tx.abort().await;
        }
    }

    fn end_caller_gone(self) {
        self.cx
            .metrics
            .count_request(CALLER_GONE_CODE, Outcome::Unknown);
        self.record_event(EventKind::CallerGone);
    }

    fn record_end(&self, code: &'static str, outcome: Outcome) {
        self.cx.metrics.count_request(code, outcome);
        self.record_event(EventKind::Ended(outcome));
    }

    fn record_event(&self, kind: EventKind) {
        self.cx.timeline.record(Some(self.request), kind);
    }
}
