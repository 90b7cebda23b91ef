//! One attempt from its head to the last frame.

use std::sync::Arc;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio_util::task::TaskTracker;

use super::AgentContext;
use super::call_server::ServerCall;
use super::gate::judge_attempt;
use crate::core::AttemptRefusal;
use crate::core::Envelope;
use crate::core::once::AttemptCheck;
use crate::http::ChannelBody;
use crate::http::Client;
use crate::http::HttpBody;
use crate::http::empty_body;
use crate::http::read_body;
use crate::relay::ENVELOPE_HEADER;
use crate::relay::FrameWriter;

const FRAMES_IN_FLIGHT: usize = 64;

/// What one traffic thread reaches its backend server by.
#[derive(Debug, Clone)]
pub struct Reach {
    /// Connections to the backend server.
    pub client: Client,
    /// Calls of the backend server.
    pub tasks: TaskTracker,
}

/// Serves one attempt of an entry. An attempt of a request that may run at
/// most once is never run when it comes a second time; the answer to that
/// says nothing about the first.
pub async fn handle_attempt(
    cx: Arc<AgentContext>,
    reach: Reach,
    req: Request<Incoming>,
) -> Response<HttpBody> {
    let (head, body) = req.into_parts();
    let envelope = head
        .headers
        .get(ENVELOPE_HEADER)
        .and_then(|value| serde_json::from_slice::<Envelope>(value.as_bytes()).ok());
    let Some(envelope) = envelope else {
        return answer_status(StatusCode::BAD_REQUEST);
    };
    let traffic = &cx.settings.traffic;
    let body = read_body(body, traffic.max_body_bytes, traffic.body_timeout).await;
    let Ok(body) = body else {
        return answer_status(StatusCode::BAD_REQUEST);
    };
    cx.observe(&envelope);
    let sighting = if envelope.once {
        cx.note_attempt(&envelope)
    } else {
        AttemptCheck::New
    };
    let verdict = match sighting {
        AttemptCheck::New => judge_attempt(&cx, &envelope),
        AttemptCheck::TableFull => Err(AttemptRefusal::QueueFull),
        AttemptCheck::Duplicate => return answer_status(StatusCode::CONFLICT),
    };
    let (tx, frames) = ChannelBody::new(FRAMES_IN_FLIGHT);
    let mut writer = FrameWriter::new(tx);
    if envelope.once {
        writer.outlive_entry();
    }
    let call = ServerCall::new(cx, reach.client, envelope, head, body);
    reach.tasks.spawn(call.run(verdict, writer));
    Response::new(frames.boxed_unsync())
}

fn answer_status(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
