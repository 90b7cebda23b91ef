//! One call of the backend server, passed on as frames.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::request::Parts;
use serde_json::json;

use super::AgentContext;
use crate::core::Envelope;
use crate::core::Outcome;
use crate::core::Refusal;
use crate::http::AnswerBody;
use crate::http::Client;
use crate::http::EventStream;
use crate::http::Exchange;
use crate::http::full_body;
use crate::relay::AnswerHead;
use crate::relay::ENVELOPE_HEADER;
use crate::relay::EntryGone;
use crate::relay::Frame;
use crate::relay::FrameWriter;
use crate::relay::StreamEvent;
use crate::timeline::EventKind;

const EVENT_STREAM: &str = "text/event-stream";
const CANCEL_PATH: &str = "/cancel";
const MAX_CANCEL_ANSWER_BYTES: usize = 65_536;

/// Last event of a complete stream.
const END_OF_STREAM: &str = "[DONE]";

/// One call of the backend server.
pub struct ServerCall {
    cx: Arc<AgentContext>,
    client: Client,
    envelope: Envelope,
    head: Parts,
    body: Bytes,
}

impl ServerCall {
    /// Prepares a call; the server is not touched yet.
    pub fn new(
        cx: Arc<AgentContext>,
        client: Client,
        envelope: Envelope,
        head: Parts,
        body: Bytes,
    ) -> Self {
        Self {
            cx,
            client,
            envelope,
            head,
            body,
        }
    }

    /// Makes the call if the verdict allows it, and passes the answer on.
    pub async fn run(self, verdict: Result<(), Refusal>, mut writer: FrameWriter) {
        let request = self.envelope.request;
        let cx = Arc::clone(&self.cx);
        let canceller = Canceller::new(&self);
        let result = match verdict {
            Ok(()) => self.run_counted(&mut writer).await,
            Err(refusal) => {
                let report = cx.report(&self.envelope);
                writer.send(&Frame::Refused(refusal, report)).await
            }
        };
        if result == Err(EntryGone) {
            cx.timeline.record(Some(request), EventKind::CallerGone);
            canceller.cancel().await;
        }
    }

    async fn run_counted(self, writer: &mut FrameWriter) -> Result<(), EntryGone> {
        let cx = Arc::clone(&self.cx);
        cx.running.fetch_add(1, Ordering::AcqRel);
        let result = self.call(writer).await;
        cx.running.fetch_sub(1, Ordering::AcqRel);
        result
    }

    async fn call(mut self, writer: &mut FrameWriter) -> Result<(), EntryGone> {
        let report = self.cx.report(&self.envelope);
        writer.send(&Frame::Accepted(report)).await?;
        let Some(message) = self.build_message() else {
            let failed = Frame::Failed(Outcome::NotRun, "request cannot be passed on".into());
            return writer.send(&failed).await;
        };
        let sent = self.client.send(self.cx.settings.server, message);
        match writer.beat_during(sent).await? {
            Ok(exchange) => self.pass_answer(exchange, writer).await,
            Err(e) if e.is_certainly_unsent() => {
                log::warn!("agent: Backend server not reached: {e}.");
                let report = self.cx.report(&self.envelope);
                let refused = Frame::Refused(Refusal::ServerUnreachable, report);
                writer.send(&refused).await
            }
            Err(e) => self.fail(writer, &e.to_string()).await,
        }
    }

    fn build_message(&mut self) -> Option<Request<AnswerBody>> {
        let body = std::mem::take(&mut self.body);
        let mut message = Request::builder()
            .method(self.head.method.clone())
            .uri(self.head.uri.clone())
            .body(full_body(body))
            .ok()?;
        let headers = message.headers_mut();
        *headers = std::mem::take(&mut self.head.headers);
        headers.remove(ENVELOPE_HEADER);
        let host = self.cx.settings.server.to_string();
        headers.insert(HOST, host.parse().ok()?);
        headers.insert("x-request-id", name_attempt(&self.envelope).parse().ok()?);
        Some(message)
    }

    async fn pass_answer(
        self,
        exchange: Exchange,
        writer: &mut FrameWriter,
    ) -> Result<(), EntryGone> {
        let content_type = exchange
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(String::from);
        let streamed = content_type
            .as_deref()
            .is_some_and(|media| media.starts_with(EVENT_STREAM));
        let head = AnswerHead {
            status: exchange.status().as_u16(),
            content_type,
            streamed,
        };
        writer.send(&Frame::Head(head)).await?;
        if streamed {
            self.pass_events(exchange, writer).await
        } else {
            self.pass_body(exchange, writer).await
        }
    }

    async fn pass_events(
        self,
        exchange: Exchange,
        writer: &mut FrameWriter,
    ) -> Result<(), EntryGone> {
        let mut events = EventStream::new(exchange);
        let mut number = 0;
        loop {
            match writer.beat_during(events.next()).await? {
                Ok(Some(event)) => {
                    if !is_in_order(&event.id, &event.data, number) {
                        return self.fail(writer, "events out of order").await;
                    }
                    let data = Bytes::from(event.data);
                    let frame = Frame::Event(StreamEvent { number, data });
                    writer.send(&frame).await?;
                    number += 1;
                }
                Ok(None) => return self.finish(writer).await,
                Err(e) => return self.fail(writer, &e.to_string()).await,
            }
        }
    }

    async fn pass_body(
        self,
        mut exchange: Exchange,
        writer: &mut FrameWriter,
    ) -> Result<(), EntryGone> {
        loop {
            match writer.beat_during(exchange.next_chunk()).await? {
                Ok(Some(chunk)) => writer.send(&Frame::Body(chunk)).await?,
                Ok(None) => return self.finish(writer).await,
                Err(e) => return self.fail(writer, &e.to_string()).await,
            }
        }
    }

    async fn finish(self, writer: &mut FrameWriter) -> Result<(), EntryGone> {
        let report = self.cx.report(&self.envelope);
        writer.send(&Frame::End(report)).await
    }

    async fn fail(self, writer: &mut FrameWriter, reason: &str) -> Result<(), EntryGone> {
        log::warn!("agent: Backend server failed: {reason}.");
        let failed = Frame::Failed(Outcome::Unknown, reason.into());
        writer.send(&failed).await
    }
}

/// Ends the work of a call at the engine, which may go on although its
/// connection is closed.
struct Canceller {
    cx: Arc<AgentContext>,
    client: Client,
    attempt: String,
}

impl Canceller {
    fn new(call: &ServerCall) -> Self {
        Self {
            cx: Arc::clone(&call.cx),
            client: call.client.clone(),
            attempt: name_attempt(&call.envelope),
        }
    }

    async fn cancel(self) {
        if !self.cx.settings.engine {
            return;
        }
        let address = self.cx.settings.server;
        let body = json!({"request_id": self.attempt}).to_string();
        let message = Request::post(CANCEL_PATH)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(full_body(body));
        let Ok(message) = message else {
            return;
        };
        match self.client.send(address, message).await {
            Ok(mut exchange) => {
                // The status tells all; the rest is read for the connection's sake.
                let _ = exchange.read_rest(MAX_CANCEL_ANSWER_BYTES).await;
            }
            Err(e) => log::warn!("agent: Request not cancelled: {e}."),
        }
    }
}

/// Returns the name by which the engine knows an attempt.
fn name_attempt(envelope: &Envelope) -> String {
    format!("{}-{}", envelope.request, envelope.attempt)
}

/// Tells whether an event has the number that is due; an engine may number no
/// events at all, and the end marker needs no number.
fn is_in_order(id: &str, data: &str, due: u64) -> bool {
    id.is_empty() || data == END_OF_STREAM || id.parse() == Ok(due)
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case::due("3", "x", true)]
    #[case::unnumbered("", "x", true)]
    #[case::end("2", "[DONE]", true)]
    #[case::missing("4", "x", false)]
    #[case::repeated("2", "x", false)]
    #[case::no_number("x", "x", false)]
    fn is_in_order_each(#[case] id: &str, #[case] data: &str, #[case] expected: bool) {
        assert_eq!(is_in_order(id, data, 3), expected);
    }
}
