//! One attempt of a request at one server.

use std::fmt;

use http::Request;
use http::StatusCode;

use super::EntryContext;
use super::caller_request::CallerRequest;
use super::choice::Choice;

use crate::core::AttemptRefusal;
use crate::core::Envelope;
use crate::core::Outcome;
use crate::core::retry::AttemptFailure;
use crate::http::AnswerBody;
use crate::http::Client;
use crate::http::ClientError;
use crate::http::full_body;
use crate::relay::ENVELOPE_HEADER;
use crate::relay::Frame;
use crate::relay::FrameReader;
use crate::relay::FrameReaderError;
use crate::relay::ResponseHead;

/// How an attempt failed before the head of an answer came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptError {
    /// The agent refused it; it did not run.
    Refused(AttemptRefusal),
    /// No byte of it left; it did not run.
    Unsent(ClientError),
    /// It may have run.
    Unknown(String),
    /// The deadline passed before the answer began; it may have run.
    Deadline,
}

impl AttemptError {
    /// Returns the kind of failure that decides about another attempt.
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

/// An attempt whose answer has begun.
#[derive(Debug)]
pub struct Answer {
    /// Head of the answer.
    pub head: ResponseHead,
    /// Frames after the head.
    pub frames: FrameReader,
}

/// Sends one attempt and waits for the head of its answer. Only the first
/// attempt of an idempotent request goes over a kept connection.
///
/// # Errors
///
/// The attempt failed; the error tells what is known about whether it ran.
pub async fn make_attempt(
    cx: &EntryContext,
    client: &Client,
    choice: &Choice,
    envelope: &Envelope,
    req: &CallerRequest,
) -> Result<Answer, AttemptError> {
    let message = build_message(envelope, req)?;
    let is_first_try = envelope.attempt == 1 && envelope.resume_after.is_none();
    let exchange = if is_first_try && !envelope.once {
        client.send(choice.address, message).await
    } else {
        client.send_fresh(choice.address, message).await
    };
    let exchange = exchange.map_err(judge_client_error)?;
    if exchange.status() != StatusCode::OK {
        let problem = format!("agent answered {}", exchange.status());
        return Err(AttemptError::Unknown(problem));
    }
    let mut frames = FrameReader::new(exchange);
    loop {
        match frames.next().await.map_err(judge_reader_error)? {
            Frame::Accepted(report) => {
                let is_crossed =
                    report.request != envelope.request || report.attempt != envelope.attempt;
                if is_crossed {
                    return Err(AttemptError::Unknown("crossed answer".into()));
                }
                cx.observe(&choice.name, report);
            }
            Frame::Refused(refusal, report) => {
                cx.observe(&choice.name, report);
                frames.finish().await;
                return Err(AttemptError::Refused(refusal));
            }
            Frame::Head(head) => return Ok(Answer { head, frames }),
            Frame::Failed(Outcome::NotRun, reason) => {
                return Err(AttemptError::Unsent(ClientError::NotSent(reason)));
            }
            Frame::Failed(_, reason) => return Err(AttemptError::Unknown(reason)),
            Frame::Heartbeat => {}
            Frame::Event(_) | Frame::Body(_) | Frame::End(_) => {
                return Err(AttemptError::Unknown("answer without a head".into()));
            }
        }
    }
}

fn build_message(
    envelope: &Envelope,
    req: &CallerRequest,
) -> Result<Request<AnswerBody>, AttemptError> {
    let unsendable = |reason: String| AttemptError::Unsent(ClientError::NotSent(reason));
    let envelope = serde_json::to_string(envelope).map_err(|e| unsendable(e.to_string()))?;
    let mut message = Request::builder()
        .method(req.method.clone())
        .uri(req.target.as_str())
        .header(ENVELOPE_HEADER, envelope)
        .header("host", "agent")
        .body(full_body(req.body.clone()))
        .map_err(|e| unsendable(e.to_string()))?;
    message.headers_mut().extend(req.headers.clone());
    Ok(message)
}

fn judge_client_error(e: ClientError) -> AttemptError {
    if e.is_certainly_unsent() {
        AttemptError::Unsent(e)
    } else {
        AttemptError::Unknown(e.to_string())
    }
}

fn judge_reader_error(e: FrameReaderError) -> AttemptError {
    AttemptError::Unknown(e.to_string())
}
