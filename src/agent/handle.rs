//! One attempt from its head to the last frame.

use std::sync::Arc;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use super::AgentContext;
use super::call_server::ServerCall;
use super::gate::judge_attempt;
use crate::core::Envelope;
use crate::http::AnswerBody;
use crate::http::ChannelBody;
use crate::http::Client;
use crate::http::empty_body;
use crate::http::read_body;
use crate::relay::ENVELOPE_HEADER;
use crate::relay::FrameWriter;

const FRAMES_IN_FLIGHT: usize = 64;

/// Serves one attempt of an entry.
pub async fn handle_attempt(
    cx: Arc<AgentContext>,
    client: Client,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
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
    let verdict = judge_attempt(&cx, &envelope);
    let (tx, frames) = ChannelBody::new(FRAMES_IN_FLIGHT);
    let call = ServerCall::new(cx, client, envelope, head, body);
    tokio::spawn(call.run(verdict, FrameWriter::new(tx)));
    Response::new(frames.boxed_unsync())
}

fn answer_status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
