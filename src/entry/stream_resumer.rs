//! Resumes the stream of a running attempt over a new connection after the
//! connection to its agent was lost.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use tokio::time::timeout;

use super::EntryContext;
use super::agent_silence::AgentSilence;
use super::attempt::send_attempt;
use super::caller_request::CallerRequest;
use super::chosen_server::ChosenServer;
use crate::core::Envelope;
use crate::http::Client;
use crate::relay::FrameReader;

const MAX_RESUMES: u32 = 3;
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// Resumes the stream of one attempt, at most [`MAX_RESUMES`] times and only at
/// the agent where the attempt runs.
#[derive(Debug)]
pub struct StreamResumer {
    /// HTTP client for agents.
    pub client: Client,
    /// Envelope that the attempt was sent with; resumptions repeat it.
    pub envelope: Envelope,
    /// Server that runs the attempt; stays counted as busy until this is
    /// dropped.
    pub server: ChosenServer,
    /// Resumptions tried so far, failed ones included.
    pub resume_count: u32,
}

impl StreamResumer {
    /// Requests the events after number `last_event`. Returns `None` if the
    /// stream cannot be resumed, or the agent does not respond within
    /// [`RESUME_TIMEOUT`].
    pub async fn resume(&mut self, cx: &EntryContext, last_event: u64) -> Option<FrameReader> {
        if self.resume_count == MAX_RESUMES {
            return None;
        }
        self.resume_count += 1;
        self.envelope.resume_after = Some(last_event);
        let req = CallerRequest {
            method: Method::POST,
            target: "/resume".into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            prompt_prefix: None,
        };
        let silence = AgentSilence::default();
        let envelope = &self.envelope;
        let attempt = send_attempt(cx, &self.client, &self.server, envelope, &req, &silence);
        let response = timeout(RESUME_TIMEOUT, attempt).await.ok()?;
        match response {
            Ok(response) if response.head.streamed && response.head.status == 200 => {
                Some(response.frames)
            }
            Ok(_) => None,
            Err(e) => {
                log::warn!(
                    "entry: Stream from server {} could not be resumed: {e}.",
                    self.server.name
                );
                None
            }
        }
    }
}
