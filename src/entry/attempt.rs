//! Sends one attempt of a request to the agent of one backend server and waits
//! for the head of its response.

use std::fmt;
use std::pin::pin;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use tokio::time::timeout;

use super::EntryContext;
use super::agent_silence::AgentSilence;
use super::caller_request::CallerRequest;
use super::chosen_server::ChosenServer;

use crate::core::AttemptRefusal;
use crate::core::Envelope;
use crate::core::Outcome;
use crate::core::ResponseReport;
use crate::core::retry::AttemptFailure;
use crate::http::Client;
use crate::http::ClientError;
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

/// Sends one attempt and waits for the head of its response, as long as the returned future
/// is polled. `silence` is recorded whenever the agent has sent nothing for the time that
/// the settings allow: its host may only stand still, and go on later. Only the first
/// attempt of an idempotent request uses a pooled connection; retries, resumptions and
/// at-most-once requests open a new one. Nothing in the response counts before an agent's
/// report names the attempt.
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
    silence: &AgentSilence,
) -> Result<AgentResponse, AttemptError> {
    let message = build_message(envelope, req)?;
    let is_first_attempt = envelope.attempt == 1 && envelope.resume_after.is_none();
    let send = async {
        if is_first_attempt && !envelope.once {
            let name = envelope.attempt_id();
            let build = || message.clone().map(full_body);
            client
                .send_named(server.address, name.as_bytes(), build)
                .await
        } else {
            client
                .send(server.address, message.clone().map(full_body))
                .await
        }
    };
    let mut send = pin!(send);
    let answer_timeout = cx.settings.traffic.response_timeout;
    let response = loop {
        if let Ok(response) = timeout(answer_timeout, &mut send).await {
            break response.map_err(classify_client_error)?;
        }
        // The same fault may affect all of them.
        client.drop_idle_connections(server.address);
        silence.record();
    };
    if response.status() != StatusCode::OK {
        let reason = format!("agent responded with {}", response.status());
        return Err(AttemptError::Unknown(reason));
    }
    let mut frames = FrameReader::new(response);
    let mut is_accepted = false;
    loop {
        let frame = match frames.next().await {
            Err(e) if e.is_silence() => {
                silence.record();
                continue;
            }
            frame => frame.map_err(classify_reader_error)?,
        };
        match frame {
            Frame::Accepted(report) => {
                check_report(envelope, &report)?;
                is_accepted = true;
                frames.allow_reuse();
                cx.record_report(&server.name, report);
            }
            Frame::Refused(refusal, report) => {
                check_report(envelope, &report)?;
                frames.allow_reuse();
                cx.record_report(&server.name, report);
                frames.finish().await;
                return Err(AttemptError::Refused(refusal));
            }
            Frame::Heartbeat => {}
            _ if !is_accepted => {
                return Err(AttemptError::Unknown(
                    "response names no attempt before it begins".into(),
                ));
            }
            Frame::Head(head) => return Ok(AgentResponse { head, frames }),
            Frame::Failed(Outcome::NotRun, reason) => {
                return Err(AttemptError::Unsent(ClientError::NotSent(reason)));
            }
            Frame::Failed(_, reason) => return Err(AttemptError::Unknown(reason)),
            Frame::Event(_) | Frame::Body(_) | Frame::End(_) => {
                return Err(AttemptError::Unknown(
                    "response body came before its head".into(),
                ));
            }
        }
    }
}

/// Checks that a report belongs to the attempt that was sent.
fn check_report(envelope: &Envelope, report: &ResponseReport) -> Result<(), AttemptError> {
    if (report.request, report.attempt) == (envelope.request, envelope.attempt) {
        return Ok(());
    }
    Err(AttemptError::Unknown(
        "report belongs to another attempt".into(),
    ))
}

fn build_message(envelope: &Envelope, req: &CallerRequest) -> Result<Request<Bytes>, AttemptError> {
    let not_sent = |reason: String| AttemptError::Unsent(ClientError::NotSent(reason));
    let envelope = serde_json::to_string(envelope).map_err(|e| not_sent(e.to_string()))?;
    let mut message = Request::builder()
        .method(req.method.clone())
        .uri(req.target.as_str())
        .header(ENVELOPE_HEADER, envelope)
        .header("host", "agent")
        .body(req.body.clone())
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
