//! Cancels work that nobody waits for any more.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use serde_json::json;
use tokio::time::sleep;

use super::AgentContext;
use super::engine_stream::format_attempt_id;
use crate::core::Envelope;
use crate::core::RequestId;
use crate::http::Client;
use crate::http::full_body;

const CANCEL_PATH: &str = "/cancel";
const MAX_RESPONSE_BYTES: usize = 65_536;

/// Time in which an entry that lost its connection may resume the stream.
const RESUME_GRACE_PERIOD: Duration = Duration::from_millis(400);

/// Ends the work of an attempt at the engine, which may go on although its
/// connection is closed.
pub struct Canceller {
    cx: Arc<AgentContext>,
    client: Client,
    attempt: (RequestId, u32),
    attempt_id: String,
    resumes_at_start: u32,
}

impl Canceller {
    /// Prepares for an attempt that begins or resumes now.
    pub fn new(cx: Arc<AgentContext>, client: Client, envelope: &Envelope) -> Self {
        let attempt = (envelope.request, envelope.attempt);
        Self {
            resumes_at_start: cx.resume_counts.get(attempt),
            cx,
            client,
            attempt,
            attempt_id: format_attempt_id(envelope),
        }
    }

    /// Cancels the attempt, unless an entry resumes it soon.
    pub async fn cancel(self) {
        if !self.cx.settings.engine {
            return;
        }
        sleep(RESUME_GRACE_PERIOD).await;
        if self.cx.resume_counts.get(self.attempt) > self.resumes_at_start {
            return;
        }
        self.cx.resume_counts.remove(self.attempt);
        self.send_cancel_request().await;
    }

    async fn send_cancel_request(&self) {
        let address = self.cx.settings.server;
        let body = json!({"request_id": self.attempt_id}).to_string();
        let request = Request::post(CANCEL_PATH)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(full_body(body));
        let Ok(request) = request else {
            return;
        };
        match self.client.send_fresh(address, request).await {
            Ok(mut exchange) => {
                // The rest is read only so that the connection can be used again.
                let _ = exchange.read_rest(MAX_RESPONSE_BYTES).await;
            }
            Err(e) => log::warn!("agent: Request not cancelled: {e}."),
        }
    }
}
