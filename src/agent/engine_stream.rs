//! Reads the events of one generation and resumes the stream after a
//! connection loss.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Event;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use serde::Deserialize;
use tokio::time::Instant;
use tokio::time::timeout;

use super::AgentContext;
use crate::core::Envelope;
use crate::http::Client;
use crate::http::EventStream;
use crate::http::Exchange;
use crate::http::HttpBody;
use crate::http::empty_body;

/// Header that carries the attempt id in requests to the engine and in its
/// responses.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Data of the last event of a complete stream.
const END_MARKER: &str = "[DONE]";

const MAX_RESUMES: u32 = 3;

/// Time in which an engine must answer an attempt to resume a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// Stream of the events of one generation, in order and without gaps. After a
/// connection loss, it asks the engine to resume after the last event, at most
/// [`MAX_RESUMES`] times. It rejects events of another generation.
#[derive(Debug)]
pub struct EngineStream {
    cx: Arc<AgentContext>,
    client: Client,
    attempt_id: String,
    events: EventStream,
    next_number: u64,
    generation: Option<String>,
    can_resume: bool,
    resumes: u32,
    has_ended: bool,
    /// Until when a silent engine is waited for.
    deadline: Instant,
}

impl EngineStream {
    /// Creates a stream from a response whose first event must have the number
    /// `next_number`.
    pub fn new(
        cx: Arc<AgentContext>,
        client: Client,
        envelope: &Envelope,
        exchange: Exchange,
        next_number: u64,
    ) -> Self {
        Self {
            cx,
            client,
            attempt_id: envelope.attempt_id(),
            events: EventStream::new(exchange),
            next_number,
            generation: None,
            can_resume: false,
            resumes: 0,
            has_ended: false,
            deadline: Instant::now() + Duration::from_millis(envelope.deadline_ms),
        }
    }

    /// Waits for the data of the next event; `None` after the last one. An engine that is
    /// only silent keeps its connection until it has resumed the stream over another one.
    ///
    /// # Errors
    ///
    /// The stream broke and cannot be resumed, or an event has the wrong number
    /// or belongs to another generation.
    pub async fn next(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            let mut may_go_on = false;
            let reason = match self.events.next().await {
                Ok(Some(event)) => return self.check_event(event).map(Some),
                Ok(None) if self.has_ended || !self.can_resume => return Ok(None),
                Ok(None) => String::from("stream ended without [DONE]"),
                Err(e) => {
                    may_go_on = e.is_silence() && Instant::now() < self.deadline;
                    e.to_string()
                }
            };
            if !self.can_resume || self.resumes == MAX_RESUMES {
                if may_go_on {
                    continue;
                }
                return Err(reason);
            }
            log::info!(
                "agent: Stream broke: {reason}; resuming at event {}.",
                self.next_number
            );
            self.resumes += 1;
            match self.resume().await {
                Err(e) if !may_go_on => return Err(e),
                Err(e) => log::info!("agent: Stream not resumed: {e}; waiting for the engine."),
                Ok(()) => {}
            }
        }
    }

    fn check_event(&mut self, event: Event) -> Result<Bytes, String> {
        if event.data == END_MARKER {
            self.has_ended = true;
        } else {
            self.check_event_id(&event.id)?;
            self.check_generation(&event.data)?;
        }
        self.next_number += 1;
        Ok(Bytes::from(event.data))
    }

    /// Checks that the event has the next number. An engine that numbers no
    /// events is accepted, but its stream cannot be resumed.
    fn check_event_id(&mut self, id: &str) -> Result<(), String> {
        if id.is_empty() && !self.can_resume {
            return Ok(());
        }
        if id.parse() != Ok(self.next_number) {
            return Err("events out of order".into());
        }
        self.can_resume = true;
        Ok(())
    }

    fn check_generation(&mut self, data: &str) -> Result<(), String> {
        #[derive(Deserialize)]
        struct ChunkId {
            id: Option<String>,
        }
        let chunk: Option<ChunkId> = serde_json::from_str(data).ok();
        let Some(id) = chunk.and_then(|chunk| chunk.id) else {
            return Ok(());
        };
        match &self.generation {
            None => self.generation = Some(id),
            Some(generation) if *generation == id => {}
            Some(_) => return Err("events of another generation".into()),
        }
        Ok(())
    }

    async fn resume(&mut self) -> Result<(), String> {
        let address = self.cx.settings.server;
        let last_number = self.next_number.saturating_sub(1);
        let request = build_resume_request(&self.attempt_id, last_number, &address.to_string());
        let request = request.ok_or("cannot build the resume request")?;
        let sent = timeout(RESUME_TIMEOUT, self.client.send(address, request)).await;
        let sent = sent.map_err(|_| "engine did not answer")?;
        let exchange = sent.map_err(|e| e.to_string())?;
        if exchange.status() != StatusCode::OK {
            return Err(format!(
                "engine did not resume the stream: {}",
                exchange.status()
            ));
        }
        self.events = EventStream::new(exchange);
        Ok(())
    }
}

/// Builds the request for the events after the one with number `last_number`.
pub fn build_resume_request(
    attempt_id: &str,
    last_number: u64,
    host: &str,
) -> Option<Request<HttpBody>> {
    Request::get(format!(
        "/resume?request_id={attempt_id}&after={last_number}"
    ))
    .header(HOST, host)
    .header(REQUEST_ID_HEADER, attempt_id)
    .body(empty_body())
    .ok()
}
