//! Events of one generation, over as many connections as it takes.

use std::sync::Arc;

use bytes::Bytes;
use eventsource_stream::Event;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use serde::Deserialize;

use super::AgentContext;
use crate::core::Envelope;
use crate::http::Client;
use crate::http::EventStream;
use crate::http::Exchange;
use crate::http::HttpBody;
use crate::http::empty_body;

/// Header in which the engine is told, and tells, which request it is.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Last event of a complete stream.
const END_OF_STREAM: &str = "[DONE]";

const MAX_RESUMES: u32 = 3;

/// Events of one generation, in order and without gaps. After a connection
/// loss the engine is asked to go on after the last event; events of another
/// generation are never mixed in.
#[derive(Debug)]
pub struct EngineStream {
    cx: Arc<AgentContext>,
    client: Client,
    attempt: String,
    events: EventStream,
    due: u64,
    generation: Option<String>,
    can_resume: bool,
    resumes: u32,
    has_ended: bool,
}

impl EngineStream {
    /// Reads the events of an answer, of which the first has number `due`.
    pub fn new(
        cx: Arc<AgentContext>,
        client: Client,
        envelope: &Envelope,
        exchange: Exchange,
        due: u64,
    ) -> Self {
        Self {
            cx,
            client,
            attempt: name_attempt(envelope),
            events: EventStream::new(exchange),
            due,
            generation: None,
            can_resume: false,
            resumes: 0,
            has_ended: false,
        }
    }

    /// Waits for the next event, which has the next number; none at the end.
    ///
    /// # Errors
    ///
    /// The stream is broken, out of order or of another generation.
    pub async fn next(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            let reason = match self.events.next().await {
                Ok(Some(event)) => return self.accept(event).map(Some),
                Ok(None) if self.has_ended || !self.can_resume => return Ok(None),
                Ok(None) => String::from("stream without its end"),
                Err(e) => e.to_string(),
            };
            if !self.can_resume || self.resumes == MAX_RESUMES {
                return Err(reason);
            }
            log::info!(
                "agent: Stream broke: {reason}; resuming after {}.",
                self.due
            );
            self.resumes += 1;
            self.resume().await?;
        }
    }

    fn accept(&mut self, event: Event) -> Result<Bytes, String> {
        if event.data == END_OF_STREAM {
            self.has_ended = true;
        } else {
            self.check_order(&event.id)?;
            self.check_generation(&event.data)?;
        }
        self.due += 1;
        Ok(Bytes::from(event.data))
    }

    /// An engine may number no events at all; then it cannot resume either.
    fn check_order(&mut self, id: &str) -> Result<(), String> {
        if id.is_empty() && !self.can_resume {
            return Ok(());
        }
        if id.parse() != Ok(self.due) {
            return Err("events out of order".into());
        }
        self.can_resume = true;
        Ok(())
    }

    fn check_generation(&mut self, data: &str) -> Result<(), String> {
        #[derive(Deserialize)]
        struct Named {
            id: Option<String>,
        }
        let named: Option<Named> = serde_json::from_str(data).ok();
        let Some(id) = named.and_then(|named| named.id) else {
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
        let last = self.due.saturating_sub(1);
        let message = build_resume(&self.attempt, last, &address.to_string());
        let message = message.ok_or("resume cannot be asked for")?;
        let sent = self.client.send_on_new_connection(address, message).await;
        let exchange = sent.map_err(|e| e.to_string())?;
        if exchange.status() != StatusCode::OK {
            return Err(format!("engine cannot resume: {}", exchange.status()));
        }
        self.events = EventStream::new(exchange);
        Ok(())
    }
}

/// Builds the request for the events after the one with number `last`.
pub fn build_resume(attempt: &str, last: u64, host: &str) -> Option<Request<HttpBody>> {
    Request::get(format!("/resume?request_id={attempt}&after={last}"))
        .header(HOST, host)
        .header(REQUEST_ID_HEADER, attempt)
        .body(empty_body())
        .ok()
}

/// Returns the name by which the engine knows an attempt.
pub fn name_attempt(envelope: &Envelope) -> String {
    format!("{}-{}", envelope.request, envelope.attempt)
}
