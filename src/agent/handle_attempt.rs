//! One attempt from its head to the last frame.

use std::sync::Arc;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio_util::task::TaskTracker;

use super::AgentContext;
use super::gate::check_attempt;
use super::server_call::ServerCall;
use crate::core::AttemptRefusal;
use crate::core::Envelope;
use crate::core::once::AttemptCheck;
use crate::http::AnswerBody;
use crate::http::ChannelBody;
use crate::http::Client;
use crate::http::empty_body;
use crate::http::read_body;
use crate::relay::ENVELOPE_HEADER;
use crate::relay::FrameWriter;

const MAX_BUFFERED_FRAMES: usize = 64;

/// What one traffic thread reaches its backend server by.
#[derive(Debug, Clone)]
pub struct ThreadContext {
    /// Connections to the backend server.
    pub client: Client,
    /// Calls of the backend server.
    pub calls: TaskTracker,
}

/// Serves one attempt of an entry. An attempt of a request that may run at
/// most once is never run when it comes a second time; the answer to that
/// says nothing about the first.
pub async fn handle_attempt(
    cx: Arc<AgentContext>,
    thread_cx: ThreadContext,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let (head, body) = req.into_parts();
    let envelope = head
        .headers
        .get(ENVELOPE_HEADER)
        .and_then(|value| serde_json::from_slice::<Envelope>(value.as_bytes()).ok());
    let Some(envelope) = envelope else {
        return build_status_response(StatusCode::BAD_REQUEST);
    };
    let traffic = &cx.settings.traffic;
    let body = read_body(body, traffic.max_body_bytes, traffic.body_timeout).await;
    let Ok(body) = body else {
        return build_status_response(StatusCode::BAD_REQUEST);
    };
    cx.observe_envelope(&envelope);
    let attempt_check = if envelope.once {
        cx.record_attempt(&envelope)
    } else {
        AttemptCheck::New
    };
    let decision = match attempt_check {
        AttemptCheck::New => check_attempt(&cx, &envelope),
        AttemptCheck::TableFull => Err(AttemptRefusal::QueueFull),
        AttemptCheck::Duplicate => return build_status_response(StatusCode::CONFLICT),
    };
    let (tx, frames_body) = ChannelBody::new(MAX_BUFFERED_FRAMES);
    let mut writer = FrameWriter::new(tx);
    if envelope.once {
        writer.continue_after_disconnect();
    }
    let call = ServerCall::new(cx, thread_cx.client, envelope, head, body);
    thread_cx.calls.spawn(call.run(decision, writer));
    Response::new(frames_body.boxed_unsync())
}

fn build_status_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
