//! Cancels an attempt at the engine after its entry has disconnected.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use serde_json::json;
use tokio::time::sleep;

use super::AgentContext;
use crate::core::Envelope;
use crate::core::RequestId;
use crate::http::Client;
use crate::http::full_body;

const CANCEL_PATH: &str = "/cancel";
const MAX_RESPONSE_BYTES: usize = 65_536;

/// Time that an entry has to resume the stream after its connection broke.
const RESUME_GRACE_PERIOD: Duration = Duration::from_millis(400);

/// Cancels one attempt at the engine, which may continue a generation whose
/// connection is closed.
pub struct Canceller {
    cx: Arc<AgentContext>,
    client: Client,
    attempt: (RequestId, u32),
    attempt_id: String,
    resumes_at_start: u32,
}

impl Canceller {
    /// Creates the canceller of an attempt that starts or resumes now.
    pub fn new(cx: Arc<AgentContext>, client: Client, envelope: &Envelope) -> Self {
        let attempt = (envelope.request, envelope.attempt);
        Self {
            resumes_at_start: cx.resume_counts.get(attempt),
            cx,
            client,
            attempt,
            attempt_id: envelope.attempt_id(),
        }
    }

    /// Cancels the attempt, unless an entry resumes it within
    /// [`RESUME_GRACE_PERIOD`]. Does nothing if the backend server is not a
    /// model engine.
    pub async fn cancel(self) {
        if !self.cx.settings.is_engine {
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
        match self.client.send(address, request).await {
            Ok(mut exchange) => {
                // Closing the connection earlier could end the cancellation.
                let _ = exchange.read_rest(MAX_RESPONSE_BYTES).await;
            }
            Err(e) => log::warn!("agent: Request not cancelled: {e}."),
        }
    }
}
