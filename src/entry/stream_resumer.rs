//! Resumes a stream after the connection to its agent was lost.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use tokio::time::timeout;

use super::EntryContext;
use super::attempt::send_attempt;
use super::caller_request::CallerRequest;
use super::chosen_server::ChosenServer;
use crate::core::Envelope;
use crate::http::Client;
use crate::relay::FrameReader;

const MAX_RESUMES: u32 = 3;
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// Resumes the stream of one attempt at the agent that it began at.
#[derive(Debug)]
pub struct StreamResumer {
    /// Connections to agents.
    pub client: Client,
    /// What the agent was told about the attempt.
    pub envelope: Envelope,
    /// Server that runs the attempt.
    pub server: ChosenServer,
    /// Resumptions so far.
    pub resume_count: u32,
}

impl StreamResumer {
    /// Asks for the events after the one with number `last`; none if the
    /// stream cannot go on.
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
        let attempt = send_attempt(cx, &self.client, &self.server, &self.envelope, &req);
        let response = timeout(RESUME_TIMEOUT, attempt).await.ok()?;
        match response {
            Ok(response) if response.head.streamed && response.head.status == 200 => {
                Some(response.frames)
            }
            Ok(_) => None,
            Err(e) => {
                log::warn!("entry: Stream at {} not resumed: {e}.", self.server.name);
                None
            }
        }
    }
}
