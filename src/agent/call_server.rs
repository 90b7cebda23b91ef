//! One call of the backend server, passed on as frames.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::request::Parts;
use tokio::time::timeout;

use super::AgentContext;
use super::cancel::Canceller;
use super::engine_stream::EngineStream;
use super::engine_stream::REQUEST_ID_HEADER;
use super::engine_stream::build_resume;
use super::engine_stream::name_attempt;
use crate::core::AttemptRefusal;
use crate::core::Envelope;
use crate::core::Outcome;
use crate::http::Client;
use crate::http::ClientError;
use crate::http::Exchange;
use crate::http::HttpBody;
use crate::http::full_body;
use crate::relay::AnswerHead;
use crate::relay::ENVELOPE_HEADER;
use crate::relay::EntryGone;
use crate::relay::Frame;
use crate::relay::FrameWriter;
use crate::relay::StreamEvent;
use crate::timeline::EventKind;

const EVENT_STREAM: &str = "text/event-stream";

/// Wait for the backend server after the entry should have given up.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

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
    pub async fn run(self, verdict: Result<(), AttemptRefusal>, mut writer: FrameWriter) {
        let request = self.envelope.request;
        let cx = Arc::clone(&self.cx);
        let attempt = (request, self.envelope.attempt);
        if self.envelope.resume_after.is_some() {
            cx.resumes.note(attempt);
        }
        let canceller = Canceller::new(Arc::clone(&cx), self.client.clone(), &self.envelope);
        cx.timeline
            .record(Some(request), describe_verdict(&verdict));
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
        } else {
            cx.resumes.forget(attempt);
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
        let limit = Duration::from_millis(self.envelope.deadline_ms) + DEADLINE_MARGIN;
        let sent = self
            .client
            .send_on_new_connection(self.cx.settings.server, message);
        let sent = writer.beat_during(timeout(limit, sent)).await?;
        match sent.unwrap_or(Err(ClientError::TimedOut)) {
            Ok(exchange) if self.is_crossed(&exchange) => self.fail(writer, "crossed answer").await,
            Ok(mut exchange) => {
                exchange.set_read_timeout(limit);
                self.pass_answer(exchange, writer).await
            }
            Err(e) if e.is_certainly_unsent() => {
                log::warn!("agent: Backend server not reached: {e}.");
                let report = self.cx.report(&self.envelope);
                let refused = Frame::Refused(AttemptRefusal::ServerUnreachable, report);
                writer.send(&refused).await
            }
            Err(e) => self.fail(writer, &e.to_string()).await,
        }
    }

    /// Tells whether the server names another request than it was sent.
    fn is_crossed(&self, exchange: &Exchange) -> bool {
        let named = exchange.headers().get(REQUEST_ID_HEADER);
        named.is_some_and(|named| named.as_bytes() != name_attempt(&self.envelope).as_bytes())
    }

    fn build_message(&mut self) -> Option<Request<HttpBody>> {
        if let Some(last) = self.envelope.resume_after {
            let host = self.cx.settings.server.to_string();
            return build_resume(&name_attempt(&self.envelope), last, &host);
        }
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
        headers.insert(
            REQUEST_ID_HEADER,
            name_attempt(&self.envelope).parse().ok()?,
        );
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
        let mut number = self.envelope.resume_after.map_or(0, |last| last + 1);
        let (cx, client) = (Arc::clone(&self.cx), self.client.clone());
        let mut events = EngineStream::new(cx, client, &self.envelope, exchange, number);
        loop {
            match writer.beat_during(events.next()).await? {
                Ok(Some(data)) => {
                    let frame = Frame::Event(StreamEvent { number, data });
                    writer.send(&frame).await?;
                    number += 1;
                }
                Ok(None) => return self.finish(writer).await,
                Err(reason) => return self.fail(writer, &reason).await,
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

fn describe_verdict(verdict: &Result<(), AttemptRefusal>) -> EventKind {
    match verdict {
        Ok(()) => EventKind::GatePassed,
        Err(refusal) => EventKind::GateRefused(*refusal),
    }
}
