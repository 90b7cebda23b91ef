//! Receives an attempt from an entry, checks it and starts its call of the
//! backend server.

use std::sync::Arc;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio_util::task::TaskTracker;

use super::AgentContext;
use super::check_attempt::check_attempt;
use super::server_call::ServerCall;
use crate::core::AttemptRefusal;
use crate::core::Envelope;
use crate::core::once::AttemptCheck;
use crate::http::ChannelBody;
use crate::http::Client;
use crate::http::HttpBody;
use crate::http::empty_body;
use crate::http::read_body;
use crate::http::record_whole_body;
use crate::relay::ENVELOPE_HEADER;
use crate::relay::FrameWriter;

/// Frames that wait for the entry to read them before the call is paused.
const MAX_BUFFERED_FRAMES: usize = 64;

/// Connections and calls of one traffic thread. Connections cannot be shared
/// between the runtimes of several threads.
#[derive(Debug, Clone)]
pub struct ThreadContext {
    /// Client with the thread's connections to the backend server.
    pub client: Client,
    /// Running calls of the backend server, which a drain waits for.
    pub calls: TaskTracker,
}

/// Handles one attempt from an entry. The response carries frames, or only a
/// status if the attempt cannot be read.
///
/// If an attempt of a request that may run at most once arrives a second time,
/// it is never run: the response is the status 409, which says nothing about
/// the outcome of the first.
pub async fn handle_attempt(
    cx: Arc<AgentContext>,
    thread_cx: ThreadContext,
    req: Request<Incoming>,
) -> Response<HttpBody> {
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
    record_whole_body(&head.extensions);
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

fn build_status_response(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
