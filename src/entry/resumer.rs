//! Resumes a stream after the connection to its agent was lost.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use tokio::time::timeout;

use super::EntryContext;
use super::attempt::make_attempt;
use super::caller_request::CallerRequest;
use super::choice::Choice;
use crate::core::Envelope;
use crate::http::Client;
use crate::relay::FrameReader;

const MAX_RESUMES: u32 = 3;
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// Resumes the stream of one attempt at the agent that it began at.
#[derive(Debug)]
pub struct Resumer {
    /// Connections to agents.
    pub client: Client,
    /// What the agent was told about the attempt.
    pub envelope: Envelope,
    /// Server that runs the attempt.
    pub choice: Choice,
    /// Resumptions so far.
    pub resumes: u32,
}

impl Resumer {
    /// Asks for the events after the one with number `last`; none if the
    /// stream cannot go on.
    pub async fn resume(&mut self, cx: &EntryContext, last: u64) -> Option<FrameReader> {
        if self.resumes == MAX_RESUMES {
            return None;
        }
        self.resumes += 1;
        self.envelope.resume_after = Some(last);
        let req = CallerRequest {
            method: Method::POST,
            target: "/resume".into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            prefix: None,
        };
        let sent = make_attempt(cx, &self.client, &self.choice, &self.envelope, &req);
        let answer = timeout(RESUME_TIMEOUT, sent).await.ok()?;
        match answer {
            Ok(answer) if answer.head.streamed && answer.head.status == 200 => Some(answer.frames),
            Ok(_) => None,
            Err(e) => {
                log::warn!("entry: Stream at {} not resumed: {e}.", self.choice.name);
                None
            }
        }
    }
}
