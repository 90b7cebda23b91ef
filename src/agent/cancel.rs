//! Cancels work that nobody waits for any more.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use serde_json::json;
use tokio::time::sleep;

use super::AgentContext;
use super::engine_stream::name_attempt;
use crate::core::Envelope;
use crate::core::RequestId;
use crate::http::Client;
use crate::http::full_body;

const CANCEL_PATH: &str = "/cancel";
const MAX_ANSWER_BYTES: usize = 65_536;

/// Time in which an entry that lost its connection may resume the stream.
const RESUME_GRACE: Duration = Duration::from_millis(400);

/// Ends the work of an attempt at the engine, which may go on although its
/// connection is closed.
pub struct Canceller {
    cx: Arc<AgentContext>,
    client: Client,
    attempt: (RequestId, u32),
    name: String,
    resumes_at_start: u32,
}

impl Canceller {
    /// Prepares for an attempt that begins or resumes now.
    pub fn new(cx: Arc<AgentContext>, client: Client, envelope: &Envelope) -> Self {
        let attempt = (envelope.request, envelope.attempt);
        Self {
            resumes_at_start: cx.resumes.count(attempt),
            cx,
            client,
            attempt,
            name: name_attempt(envelope),
        }
    }

    /// Cancels the attempt, unless an entry resumes it soon.
    pub async fn cancel(self) {
        if !self.cx.settings.engine {
            return;
        }
        sleep(RESUME_GRACE).await;
        if self.cx.resumes.count(self.attempt) > self.resumes_at_start {
            return;
        }
        self.cx.resumes.forget(self.attempt);
        self.send().await;
    }

    async fn send(&self) {
        let address = self.cx.settings.server;
        let body = json!({"request_id": self.name}).to_string();
        let message = Request::post(CANCEL_PATH)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(full_body(body));
        let Ok(message) = message else {
            return;
        };
        match self.client.send_on_new_connection(address, message).await {
            Ok(mut exchange) => {
                // The rest is read only so that the connection can be used again.
                let _ = exchange.read_rest(MAX_ANSWER_BYTES).await;
            }
            Err(e) => log::warn!("agent: Request not cancelled: {e}."),
        }
    }
}
