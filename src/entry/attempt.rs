//! Sends one attempt of a request to the agent of one backend server and waits
//! for the head of its response.

use std::fmt;

use http::Request;
use http::StatusCode;

use super::EntryContext;
use super::caller_request::CallerRequest;
use super::chosen_server::ChosenServer;

use crate::core::AttemptRefusal;
use crate::core::Envelope;
use crate::core::Outcome;
use crate::core::retry::AttemptFailure;
use crate::http::Client;
use crate::http::ClientError;
use crate::http::HttpBody;
use crate::http::full_body;
use crate::relay::ENVELOPE_HEADER;
use crate::relay::Frame;
use crate::relay::FrameReader;
use crate::relay::FrameReaderError;
use crate::relay::ResponseHead;

/// Why an attempt failed before the head of its response arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptError {
    /// The agent refused the attempt; it did not run.
    Refused(AttemptRefusal),
    /// No byte of the attempt was sent, or its agent reported that it did not
    /// run.
    Unsent(ClientError),
    /// The attempt may have run; holds the reason of the failure.
    Unknown(String),
    /// The deadline passed before the response began; the attempt may have run.
    Deadline,
}

impl AttemptError {
    /// Returns the failure as the retry policy classifies it.
    pub fn failure(&self) -> AttemptFailure {
        match self {
            Self::Refused(refusal) => AttemptFailure::Refused(*refusal),
            Self::Unsent(_) => AttemptFailure::Unsent,
            Self::Unknown(_) | Self::Deadline => AttemptFailure::Unknown,
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => refusal.fmt(f),
            Self::Unsent(e) => e.fmt(f),
            Self::Unknown(reason) => f.write_str(reason),
            Self::Deadline => f.write_str("deadline passed"),
        }
    }
}

/// The response of an agent, of which the head has arrived.
#[derive(Debug)]
pub struct AgentResponse {
    /// Status and content type of the backend server's response.
    pub head: ResponseHead,
    /// Reads the frames that follow the head.
    pub frames: FrameReader,
}

/// Sends one attempt and waits for the head of its response.
///
/// # Errors
///
/// The attempt failed; the error says whether it may have run.
pub async fn send_attempt(
    cx: &EntryContext,
    client: &Client,
    server: &ChosenServer,
    envelope: &Envelope,
    req: &CallerRequest,
) -> Result<AgentResponse, AttemptError> {
    let message = build_message(envelope, req)?;
    let response = client.send(server.address, message).await;
    let response = response.map_err(classify_client_error)?;
    if response.status() != StatusCode::OK {
        let reason = format!("agent responded with {}", response.status());
        return Err(AttemptError::Unknown(reason));
    }
    let mut frames = FrameReader::new(response);
    loop {
        match frames.next().await.map_err(classify_reader_error)? {
            Frame::Accepted(report) => {
                let is_other_attempt =
                    report.request != envelope.request || report.attempt != envelope.attempt;
                if is_other_attempt {
                    return Err(AttemptError::Unknown(
                        "report belongs to another attempt".into(),
                    ));
                }
                cx.record_report(&server.name, report);
            }
            Frame::Refused(refusal, report) => {
                cx.record_report(&server.name, report);
                frames.finish().await;
                return Err(AttemptError::Refused(refusal));
            }
            Frame::Head(head) => return Ok(AgentResponse { head, frames }),
            Frame::Failed(Outcome::NotRun, reason) => {
                return Err(AttemptError::Unsent(ClientError::NotSent(reason)));
            }
            Frame::Failed(_, reason) => return Err(AttemptError::Unknown(reason)),
            Frame::Heartbeat => {}
            Frame::Event(_) | Frame::Body(_) | Frame::End(_) => {
                return Err(AttemptError::Unknown(
                    "response body came before its head".into(),
                ));
            }
        }
    }
}

fn build_message(
    envelope: &Envelope,
    req: &CallerRequest,
) -> Result<Request<HttpBody>, AttemptError> {
    let not_sent = |reason: String| AttemptError::Unsent(ClientError::NotSent(reason));
    let envelope = serde_json::to_string(envelope).map_err(|e| not_sent(e.to_string()))?;
    let mut message = Request::builder()
        .method(req.method.clone())
        .uri(req.target.as_str())
        .header(ENVELOPE_HEADER, envelope)
        .header("host", "agent")
        .body(full_body(req.body.clone()))
        .map_err(|e| not_sent(e.to_string()))?;
    message.headers_mut().extend(req.headers.clone());
    Ok(message)
}

fn classify_client_error(e: ClientError) -> AttemptError {
    if e.is_certainly_unsent() {
        AttemptError::Unsent(e)
    } else {
        AttemptError::Unknown(e.to_string())
    }
}

fn classify_reader_error(e: FrameReaderError) -> AttemptError {
    AttemptError::Unknown(e.to_string())
}
