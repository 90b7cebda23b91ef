//! Server-sent events of one generation for one reader.

use http::HeaderValue;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::Response;
use teaseldrum::http::BodySender;
use teaseldrum::http::ChannelBody;
use teaseldrum::http::HttpBody;
use teaseldrum::http::write_event;
use tokio::sync::watch;

use super::generation::Progress;
use super::generation::ResponseWriter;
use super::generation_reader::GenerationReader;

/// Header that carries the request id, in requests and responses.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const MAX_BUFFERED_EVENTS: usize = 64;

/// Sends the tokens of a generation to one reader as they are generated.
pub struct TokenStream {
    /// Registration that keeps the generation from being cancelled.
    pub reader: GenerationReader,
    /// Writer of the event data.
    pub writer: ResponseWriter,
    /// Progress of the generation.
    pub progress: watch::Receiver<Progress>,
    /// Number of the next event to send; a token has the number of its index.
    pub next_index: u32,
    /// Number of events sent on this connection.
    pub sent_events: u64,
}

impl TokenStream {
    /// Spawns the task that sends the events, and returns the response.
    pub fn into_response(self, request_id: &str) -> Response<HttpBody> {
        let (tx, body) = ChannelBody::new(MAX_BUFFERED_EVENTS);
        tokio::spawn(async move {
            tokio::select! {
                () = tx.closed() => {}
                () = self.send_events(tx.clone()) => {}
            }
        });
        let mut response = Response::new(body.boxed_unsync());
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        set_request_id(&mut response, request_id);
        response
    }

    async fn send_events(mut self, tx: BodySender) {
        loop {
            let next_index = self.next_index;
            let waited = self
                .progress
                .wait_for(|progress| progress.generated_tokens > next_index || progress.ended)
                .await;
            let Ok(progress) = waited.map(|progress| *progress) else {
                return tx.abort().await;
            };
            while self.next_index < progress.generated_tokens {
                let data = self.writer.write_token_event(self.next_index);
                if !self.send_event(&tx, &data).await {
                    return;
                }
            }
            if progress.cancelled {
                return tx.abort().await;
            }
            if progress.ended {
                return self.send_end(&tx, progress).await;
            }
        }
    }

    async fn send_end(&mut self, tx: &BodySender, progress: Progress) {
        let is_usage_due = self.next_index == progress.generated_tokens;
        if is_usage_due {
            let usage = self.writer.write_usage_event(progress);
            if !self.send_event(tx, &usage).await {
                return;
            }
        }
        if !self.reader.shared.lock().faults.omits_end_marker {
            self.send_event(tx, "[DONE]").await;
        }
    }

    /// Sends an event. Returns false if the reader has gone or a fault broke the
    /// connection.
    async fn send_event(&mut self, tx: &BodySender, data: &str) -> bool {
        let break_after_events = self.reader.shared.lock().faults.break_after_events;
        if break_after_events.is_some_and(|events| self.sent_events >= events) {
            tx.clone().abort().await;
            return false;
        }
        let event = write_event(&self.next_index.to_string(), "", data);
        self.next_index += 1;
        self.sent_events += 1;
        tx.send(event).await
    }
}

/// Sets the request id header of a response, unless the id is not a valid header
/// value.
pub fn set_request_id(response: &mut Response<HttpBody>, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}
