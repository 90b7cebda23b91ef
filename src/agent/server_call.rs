//! Calls the backend server for one attempt and forwards the response to the
//! entry as frames.

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
use super::canceller::Canceller;
use super::engine_stream::EngineStream;
use super::engine_stream::REQUEST_ID_HEADER;
use super::engine_stream::build_resume_request;
use crate::core::AttemptRefusal;
use crate::core::Envelope;
use crate::core::Outcome;
use crate::http::Client;
use crate::http::ClientError;
use crate::http::Exchange;
use crate::http::HttpBody;
use crate::http::full_body;
use crate::relay::ENVELOPE_HEADER;
use crate::relay::Frame;
use crate::relay::FrameNotSent;
use crate::relay::FrameWriter;
use crate::relay::ResponseHead;
use crate::relay::StreamEvent;
use crate::timeline::EventKind;

const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Time added to the time left until the deadline of the attempt, at which the
/// entry should have given up. The sum is the timeout for the response to begin,
/// and again for each chunk of it.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);

/// One attempt of a request, from the decision to run it to the last frame.
pub struct ServerCall {
    cx: Arc<AgentContext>,
    client: Client,
    envelope: Envelope,
    head: Parts,
    body: Bytes,
}

impl ServerCall {
    /// Creates the call. Nothing is sent before [`Self::run`].
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

    /// Calls the server and forwards its response if the decision allows it;
    /// otherwise, sends the refusal. Cancels the attempt if the entry
    /// disconnects.
    pub async fn run(self, decision: Result<(), AttemptRefusal>, mut writer: FrameWriter) {
        let request = self.envelope.request;
        let cx = Arc::clone(&self.cx);
        let attempt = (request, self.envelope.attempt);
        // Keeps the canceller of the broken connection from cancelling the stream.
        if self.envelope.resume_after.is_some() {
            cx.resume_counts.increment(attempt);
        }
        let canceller = Canceller::new(Arc::clone(&cx), self.client.clone(), &self.envelope);
        cx.timeline
            .record(Some(request), build_decision_event(&decision));
        let result = match decision {
            Ok(()) => self.call_and_count_running(&mut writer).await,
            Err(refusal) => {
                let report = cx.build_report(&self.envelope);
                writer.send(&Frame::Refused(refusal, report)).await
            }
        };
        if result == Err(FrameNotSent) {
            // The caller of the agent is the entry.
            cx.timeline.record(Some(request), EventKind::CallerGone);
            canceller.cancel().await;
        } else {
            cx.resume_counts.remove(attempt);
        }
    }

    /// Calls the server and counts the request as running meanwhile.
    async fn call_and_count_running(self, writer: &mut FrameWriter) -> Result<(), FrameNotSent> {
        let cx = Arc::clone(&self.cx);
        cx.running.fetch_add(1, Ordering::AcqRel);
        let result = self.call_server(writer).await;
        cx.running.fetch_sub(1, Ordering::AcqRel);
        result
    }

    async fn call_server(mut self, writer: &mut FrameWriter) -> Result<(), FrameNotSent> {
        let report = self.cx.build_report(&self.envelope);
        writer.send(&Frame::Accepted(report)).await?;
        let Some(server_request) = self.build_server_request() else {
            let failed = Frame::Failed(
                Outcome::NotRun,
                "cannot build the request to the backend server".into(),
            );
            return writer.send(&failed).await;
        };
        let response_timeout = Duration::from_millis(self.envelope.deadline_ms) + RESPONSE_MARGIN;
        let sent = self.client.send(self.cx.settings.server, server_request);
        let sent = writer
            .send_heartbeats_during(timeout(response_timeout, sent))
            .await?;
        match sent.unwrap_or(Err(ClientError::TimedOut)) {
            Ok(exchange) if self.names_other_attempt(&exchange) => {
                self.send_failure(writer, "response belongs to another attempt")
                    .await
            }
            Ok(mut exchange) => {
                exchange.set_read_timeout(response_timeout);
                self.forward_response(exchange, writer).await
            }
            Err(e) if e.is_certainly_unsent() => {
                log::warn!("agent: Backend server not reached: {e}.");
                let report = self.cx.build_report(&self.envelope);
                let refused = Frame::Refused(AttemptRefusal::ServerUnreachable, report);
                writer.send(&refused).await
            }
            Err(e) => self.send_failure(writer, &e.to_string()).await,
        }
    }

    /// Returns whether the request id header of the response names another
    /// attempt. A response without the header is accepted.
    fn names_other_attempt(&self, exchange: &Exchange) -> bool {
        let response_id = exchange.headers().get(REQUEST_ID_HEADER);
        response_id.is_some_and(|id| id.as_bytes() != self.envelope.attempt_id().as_bytes())
    }

    fn build_server_request(&mut self) -> Option<Request<HttpBody>> {
        if let Some(last) = self.envelope.resume_after {
            let host = self.cx.settings.server.to_string();
            return build_resume_request(&self.envelope.attempt_id(), last, &host);
        }
        let body = std::mem::take(&mut self.body);
        let mut server_request = Request::builder()
            .method(self.head.method.clone())
            .uri(self.head.uri.clone())
            .body(full_body(body))
            .ok()?;
        let headers = server_request.headers_mut();
        *headers = std::mem::take(&mut self.head.headers);
        headers.remove(ENVELOPE_HEADER);
        let host = self.cx.settings.server.to_string();
        headers.insert(HOST, host.parse().ok()?);
        headers.insert(REQUEST_ID_HEADER, self.envelope.attempt_id().parse().ok()?);
        Some(server_request)
    }

    async fn forward_response(
        self,
        exchange: Exchange,
        writer: &mut FrameWriter,
    ) -> Result<(), FrameNotSent> {
        let content_type = exchange
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(String::from);
        let streamed = content_type
            .as_deref()
            .is_some_and(|media_type| media_type.starts_with(EVENT_STREAM_TYPE));
        let head = ResponseHead {
            status: exchange.status().as_u16(),
            content_type,
            streamed,
        };
        writer.send(&Frame::Head(head)).await?;
        if streamed {
            self.forward_events(exchange, writer).await
        } else {
            self.forward_body(exchange, writer).await
        }
    }

    async fn forward_events(
        self,
        exchange: Exchange,
        writer: &mut FrameWriter,
    ) -> Result<(), FrameNotSent> {
        let mut number = self.envelope.resume_after.map_or(0, |last| last + 1);
        let (cx, client) = (Arc::clone(&self.cx), self.client.clone());
        let mut events = EngineStream::new(cx, client, &self.envelope, exchange, number);
        loop {
            match writer.send_heartbeats_during(events.next()).await? {
                Ok(Some(data)) => {
                    let frame = Frame::Event(StreamEvent { number, data });
                    writer.send(&frame).await?;
                    number += 1;
                }
                Ok(None) => return self.send_end(writer).await,
                Err(reason) => return self.send_failure(writer, &reason).await,
            }
        }
    }

    async fn forward_body(
        self,
        mut exchange: Exchange,
        writer: &mut FrameWriter,
    ) -> Result<(), FrameNotSent> {
        loop {
            match writer.send_heartbeats_during(exchange.next_chunk()).await? {
                Ok(Some(chunk)) => writer.send(&Frame::Body(chunk)).await?,
                Ok(None) => return self.send_end(writer).await,
                Err(e) => return self.send_failure(writer, &e.to_string()).await,
            }
        }
    }

    async fn send_end(self, writer: &mut FrameWriter) -> Result<(), FrameNotSent> {
        let report = self.cx.build_report(&self.envelope);
        writer.send(&Frame::End(report)).await
    }

    async fn send_failure(
        self,
        writer: &mut FrameWriter,
        reason: &str,
    ) -> Result<(), FrameNotSent> {
        log::warn!("agent: Backend server failed: {reason}.");
        let failed = Frame::Failed(Outcome::Unknown, reason.into());
        writer.send(&failed).await
    }
}

fn build_decision_event(decision: &Result<(), AttemptRefusal>) -> EventKind {
    match decision {
        Ok(()) => EventKind::GatePassed,
        Err(refusal) => EventKind::GateRefused(*refusal),
    }
}
