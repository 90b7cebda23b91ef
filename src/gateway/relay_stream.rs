//! Events of a stream on their way from servers to the caller.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;

use super::attempt::AttemptEnd;
use super::attempt::InFlight;
use super::attempt::attempt_call;
use super::context::GatewayContext;
use super::log_call::CallLog;
use super::read_call::Call;
use super::serve_call::MAX_SENDS;
use super::wait_alive::wait_alive;
use crate::core::fleet::BackendKey;
use crate::http::Exchange;
use crate::http::StreamCut;

/// Ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Begins the line with an event's number.
const ID_LINE: &[u8] = b"id:";

/// Events of a stream on their way from servers to the caller.
#[derive(Debug)]
pub struct StreamRelay {
    cx: Arc<GatewayContext>,
    call: Call,
    source: Option<(Exchange, InFlight)>,
    buf: BytesMut,
    last_event: Option<String>,
    tried: Vec<BackendKey>,
    runs: u32,
    log: CallLog,
}

impl StreamRelay {
    /// Creates the relay of a stream whose head has come.
    pub fn new(
        cx: &Arc<GatewayContext>,
        call: Call,
        head: (Exchange, InFlight),
        tried: Vec<BackendKey>,
        runs: u32,
        log: CallLog,
    ) -> Self {
        Self {
            cx: Arc::clone(cx),
            call,
            source: Some(head),
            buf: BytesMut::new(),
            last_event: None,
            tried,
            runs,
            log,
        }
    }

    /// Waits for the next whole events; none at the end of the stream.
    ///
    /// # Errors
    ///
    /// The stream broke and cannot be resumed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamCut> {
        loop {
            if let Some(events) = self.take_events() {
                if let Some((_, in_flight)) = &mut self.source {
                    in_flight.note_first_token(&self.call);
                }
                self.log.note_first_event();
                return Ok(Some(events));
            }
            let may_leave = self.call.may_run_again(self.runs);
            let Some((exchange, in_flight)) = &mut self.source else {
                return Ok(None);
            };
            let server = in_flight.choice().key;
            let until = self.call.deadline;
            let reading = exchange.next_chunk();
            let problem = match wait_alive(&self.cx, server, may_leave, until, reading).await {
                Some(Ok(Some(chunk))) => {
                    self.note_answer(server);
                    self.buf.extend_from_slice(&chunk);
                    continue;
                }
                Some(Ok(None)) if self.buf.is_empty() => {
                    self.finish(false);
                    self.log.end("complete", 200);
                    return Ok(None);
                }
                Some(Ok(None)) => "ended-within-event",
                Some(Err(_)) => "stream-broken",
                None => "stream-silent",
            };
            self.finish(true);
            if !self.resume(problem).await {
                self.log.end(problem, 502);
                return Err(StreamCut);
            }
        }
    }

    fn note_answer(&self, server: BackendKey) {
        let now = self.cx.now();
        self.cx.lock().dispatcher.record_answer(server, now);
    }

    /// Takes the whole events that have come, and the number of the last.
    fn take_events(&mut self) -> Option<Bytes> {
        let end = find_last(&self.buf, EVENT_END)? + EVENT_END.len();
        let events = self.buf.split_to(end).freeze();
        if let Some(id) = find_last_id(&events) {
            self.last_event = Some(id);
        }
        Some(events)
    }

    fn finish(&mut self, is_failure: bool) {
        if let Some((_, in_flight)) = self.source.take() {
            let key = in_flight.choice().key;
            let now = self.cx.now();
            let mut state = self.cx.lock();
            state.dispatcher.record_outcome(key, is_failure);
            if is_failure {
                state.dispatcher.record_unreachable(key, now);
            }
        }
        self.buf.clear();
    }

    /// Goes on at another server after the last event that was taken.
    async fn resume(&mut self, problem: &'static str) -> bool {
        let mut reason = problem;
        while self.call.may_run_again(self.runs)
            && self.tried.len() < MAX_SENDS
            && !self.call.time_left().is_zero()
        {
            let chosen = {
                let now = self.cx.now();
                let req = self.call.dispatch_request(&self.tried);
                self.cx.lock().dispatcher.choose(&req, now)
            };
            let Ok(choice) = chosen else {
                self.log.note_failure("no-server");
                return false;
            };
            if !self.cx.take_repeat(&self.call.service) {
                self.log.note_failure("no-repeats-left");
                return false;
            }
            self.log.log_send(&choice, reason);
            self.tried.push(choice.key);
            let may_leave = self.call.may_run_again(self.runs + 1);
            let last = self.last_event.clone();
            match attempt_call(&self.cx, &self.call, choice, last.as_deref(), may_leave).await {
                AttemptEnd::Streaming(head) => {
                    self.runs += 1;
                    self.source = Some((head.exchange, head.in_flight));
                    return true;
                }
                AttemptEnd::NotRun(why) => reason = why,
                AttemptEnd::Unknown(why) => {
                    self.runs += 1;
                    reason = why;
                }
                // The server ran it and has no stream to give.
                AttemptEnd::Answered(_) => return false,
            }
            self.log.note_failure(reason);
        }
        false
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        self.log.end("caller-gone", 499);
    }
}

fn find_last(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).rposition(|w| w == pattern)
}

fn find_last_id(events: &[u8]) -> Option<String> {
    let line = events
        .split(|&byte| byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(ID_LINE))?;
    let id = std::str::from_utf8(line).ok()?;
    Some(id.trim().to_owned())
}
