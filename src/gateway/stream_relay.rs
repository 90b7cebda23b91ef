//! Relays the events of a stream from servers to the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::header::TRANSFER_ENCODING;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::attempt::AttemptOutcome;
use super::attempt::InFlightGuard;
use super::attempt::attempt_call;
use super::call_log::CallLog;
use super::call_progress::CallProgress;
use super::choose_with_room::choose_with_room;
use super::context::GatewayContext;
use super::liveness_check::wait_while_alive;
use super::permit_builds::record_end;
use super::permit_builds::record_first_event;
use super::read_call::Call;
use super::report_break::report_break;
use super::serve_call::MAX_SENDS_PER_CALL;
use super::share_quarantine::record_completion;
use super::stream_keepers::record_stream_start;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::EventProgress;
use crate::core::fleet::HoldPurpose;
use crate::core::fleet::StreamKey;
use crate::core::fleet::StreamOrigin;
use crate::http::BodyAborted;
use crate::http::ByteReservation;
use crate::http::Exchange;

/// Problem of a stream whose server is suspected dead.
const STREAM_SILENT: &str = "stream-silent";

/// Problem of a stream whose server sends bytes and no events, and that can go on at
/// another server.
const STREAM_STALLED: &str = "stream-stalled";

/// Problem of a stream whose server sends an event without end.
const EVENT_TOO_LARGE: &str = "event-too-large";

/// Maximum size of an event, in bytes; it is kept until it is complete.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Problem of a stream that was cut off while its caller read slowly.
const READER_SLOW: &str = "reader-slow";

/// Problem of a stream for whose events there was no memory.
const NO_MEMORY: &str = "no-memory";

/// Bytes that are reserved before a chunk is read.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time for which a caller lets events wait from which a break counts as caused by it.
/// Servers cut off a response that is not read for some seconds.
const MIN_READER_LAG: Duration = Duration::from_secs(1);

/// Bytes that end an event.
const EVENT_TERMINATOR: &[u8] = b"\n\n";

/// Start of the line with an event's id.
const ID_FIELD_PREFIX: &[u8] = b"id:";

/// Relays the events of a stream to the caller. Only complete events are passed
/// on, so that a broken stream can be resumed at another server.
#[derive(Debug)]
pub struct StreamRelay {
    cx: Arc<GatewayContext>,
    call: Call,
    upstream: Option<(Exchange, InFlightGuard)>,
    /// Media type that the first server has stated, and the caller was told.
    media_type: Option<String>,
    buffer: BytesMut,
    /// Bytes for `buffer` and the next chunk.
    reservation: ByteReservation,
    /// When the caller last wanted events, and since when it has had none to take.
    wanted_at: Instant,
    delivered_at: Instant,
    event_progress: EventProgress,
    first_event_at: Option<Instant>,
    last_event_id: Option<String>,
    progress: CallProgress,
    call_log: CallLog,
}

impl StreamRelay {
    /// Creates the relay of a stream whose head has arrived.
    pub fn new(
        cx: &Arc<GatewayContext>,
        call: Call,
        upstream: (Exchange, InFlightGuard),
        progress: CallProgress,
        call_log: CallLog,
    ) -> Self {
        Self {
            cx: Arc::clone(cx),
            reservation: cx
                .byte_budget
                .reserve_for(call.holder.clone(), HoldPurpose::RunningCall),
            wanted_at: Instant::now(),
            delivered_at: Instant::now(),
            call,
            media_type: read_media_type(&upstream.0),
            upstream: Some(upstream),
            buffer: BytesMut::new(),
            event_progress: EventProgress::default(),
            first_event_at: None,
            last_event_id: None,
            progress,
            call_log,
        }
    }

    /// Waits for the next complete events; returns `None` at the end of the
    /// stream.
    ///
    /// # Errors
    ///
    /// The stream broke and could not be resumed.
    pub async fn next_events(&mut self) -> Result<Option<Bytes>, BodyAborted> {
        self.wanted_at = Instant::now();
        loop {
            if let Some(events) = self.take_events() {
                if has_data(&events) {
                    let now = self.cx.now();
                    self.event_progress.record_event(now, self.call.time_left());
                    self.record_events(&events);
                }
                self.delivered_at = Instant::now();
                return Ok(Some(events));
            }
            if !self.reserve_chunk().await {
                self.close_upstream(false);
                self.call_log.log_end(NO_MEMORY, 502);
                return Err(BodyAborted);
            }
            let may_run_again = self.call.may_run_again(self.progress.runs);
            let Some((exchange, in_flight)) = &mut self.upstream else {
                return Ok(None);
            };
            let choice = in_flight.choice().clone();
            let server = choice.key;
            let deadline = self.call.deadline;
            // Its end may be that of the connection to a server that crashed.
            let is_unframed_start = self.progress.build.is_none() && is_unframed(exchange);
            let chunk_read = exchange.next_chunk();
            let problem =
                match wait_while_alive(&self.cx, server, may_run_again, deadline, chunk_read).await
                {
                    Some(Ok(Some(chunk))) => {
                        let now = self.cx.now();
                        self.cx.lock().record_answer(&choice, now);
                        self.buffer.extend_from_slice(&chunk);
                        self.call_log.record_server_act("body", self.buffer.len());
                        self.reservation.set_held(self.buffer.len());
                        if self.buffer.len() > MAX_EVENT_BYTES && !self.has_event() {
                            EVENT_TOO_LARGE
                        } else if may_run_again
                            && self.event_progress.is_stalled(now)
                            && !has_data(&self.buffer)
                        {
                            STREAM_STALLED
                        } else {
                            continue;
                        }
                    }
                    Some(Ok(None)) if is_unframed_start => "ended-before-event",
                    Some(Ok(None)) if self.buffer.is_empty() => {
                        if let Some((_, in_flight)) = &mut self.upstream {
                            in_flight.record_complete();
                        }
                        self.close_upstream(false);
                        record_completion(&self.cx, &self.call, StatusCode::OK);
                        self.call_log.log_end("complete", 200);
                        return Ok(None);
                    }
                    Some(Ok(None)) => "ended-within-event",
                    Some(Err(_)) => "stream-broken",
                    None => STREAM_SILENT,
                };
            if self.is_reader_slow(problem) {
                self.close_upstream(false);
                self.call_log.log_end(READER_SLOW, 502);
                return Err(BodyAborted);
            }
            let mut next = None;
            if problem == STREAM_SILENT && !self.call.time_left().is_zero() {
                // The server may only be slow, as long as no other one can go on.
                match self.choose_next() {
                    Ok(choice) => next = Some(choice),
                    Err(why) => {
                        self.call_log.log_kept(&choice.name, why);
                        continue;
                    }
                }
            }
            self.report_break(problem);
            self.close_upstream(true);
            if !self.resume(problem, next).await {
                self.call_log.log_end(problem, 502);
                return Err(BodyAborted);
            }
        }
    }

    /// Records the build of the server that sent the stream's first event: the
    /// stream may go on only there, also when the caller takes it up elsewhere.
    fn record_events(&mut self, events: &[u8]) {
        let Some((_, in_flight)) = &mut self.upstream else {
            return;
        };
        in_flight.record_events(&self.call, count_events(events));
        self.call_log.record_first_event();
        self.first_event_at.get_or_insert_with(Instant::now);
        if self.progress.build.is_some() {
            return;
        }
        let build = in_flight.choice().build.clone();
        record_first_event(&self.cx, &self.call, in_flight);
        self.progress.build = Some(build.clone());
        let origin = StreamOrigin {
            stream: StreamKey::from_call_id(&self.call.head.id),
            service: self.call.service.clone(),
            build,
        };
        record_stream_start(&self.cx, origin);
    }

    /// Reserves bytes for the next chunk, so that nothing is read ahead without them.
    /// Returns false if there are none before the deadline of the call.
    async fn reserve_chunk(&mut self) -> bool {
        let bytes = self.buffer.len() + CHUNK_BYTES;
        timeout_at(self.call.deadline, self.reservation.grow_to(bytes))
            .await
            .unwrap_or(false)
    }

    /// Returns whether a stream broke because its caller read slowly: servers cut off
    /// what is not read. It is not resumed then, since that would take from the retry
    /// budget of all callers, and the server is not at fault.
    fn is_reader_slow(&self, problem: &str) -> bool {
        problem != STREAM_SILENT
            && self.wanted_at.duration_since(self.delivered_at) >= MIN_READER_LAG
    }

    /// Reports the connection as broken, unless the server only fell silent or stalled.
    fn report_break(&self, problem: &str) {
        if problem != STREAM_SILENT
            && problem != STREAM_STALLED
            && let Some((_, in_flight)) = &self.upstream
        {
            report_break(
                &self.cx,
                &self.call,
                in_flight.choice(),
                in_flight.sent_at(),
                self.first_event_at,
            );
        }
    }

    fn has_event(&self) -> bool {
        find_last_match(&self.buffer, EVENT_TERMINATOR).is_some()
    }

    /// Takes the complete events out of the buffer and remembers the id of the
    /// last one.
    fn take_events(&mut self) -> Option<Bytes> {
        let end = find_last_match(&self.buffer, EVENT_TERMINATOR)? + EVENT_TERMINATOR.len();
        let events = self.buffer.split_to(end).freeze();
        self.call_log.record_held(self.buffer.len());
        if let Some(id) = find_last_event_id(&events) {
            self.last_event_id = Some(id);
        }
        Some(self.reservation.attach_part(events))
    }

    fn close_upstream(&mut self, is_failure: bool) {
        if let Some((_, in_flight)) = self.upstream.take() {
            let choice = in_flight.choice();
            record_end(&self.cx, &self.call, choice, is_failure);
            let now = self.cx.now();
            let mut state = self.cx.lock();
            if state.dispatcher.lists_run(choice) {
                state.dispatcher.record_outcome(choice.key, is_failure);
                if is_failure {
                    state.dispatcher.record_unreachable(choice.key, now);
                }
            }
        }
        self.buffer.clear();
        self.reservation.set_held(0);
    }

    /// Chooses the server at which the stream goes on, and takes a retry for it.
    ///
    /// # Errors
    ///
    /// The stream can go on at no other server; holds the reason.
    fn choose_next(&self) -> Result<BackendChoice, &'static str> {
        if !self.call.may_run_again(self.progress.runs)
            || self.progress.tried.len() >= MAX_SENDS_PER_CALL
            || self.call.time_left().is_zero()
        {
            return Err("no-attempts-left");
        }
        let choice = choose_with_room(&self.cx, &self.call, &self.progress, &[]);
        let choice = choice.map_err(|_| "no-server")?;
        if self.cx.take_retry(&self.call.service) {
            Ok(choice)
        } else {
            Err("no-repeats-left")
        }
    }

    /// Resumes the stream at another server after the last event that was
    /// taken: first at `next`, if it was chosen already. Returns whether that worked.
    async fn resume(&mut self, problem: &'static str, next: Option<BackendChoice>) -> bool {
        let mut reason = problem;
        let mut next = next;
        loop {
            let choice = match next.take().map_or_else(|| self.choose_next(), Ok) {
                Ok(choice) => choice,
                Err(why) => {
                    self.call_log.record_failure(why);
                    return false;
                }
            };
            self.call_log.log_send(&choice, reason);
            self.progress.tried.push(choice.key);
            let may_run_again = self.call.may_run_again(self.progress.runs + 1);
            let last_event_id = self.last_event_id.clone();
            match attempt_call(
                &self.cx,
                &self.call,
                choice,
                last_event_id.as_deref(),
                may_run_again,
            )
            .await
            {
                // Such as the text of an error, under a status of success.
                AttemptOutcome::Streaming(head)
                    if read_media_type(&head.exchange) != self.media_type =>
                {
                    self.call_log.record_failure("not-a-stream");
                    return false;
                }
                AttemptOutcome::Streaming(head) => {
                    self.progress.runs += 1;
                    self.event_progress.restart();
                    self.upstream = Some((head.exchange, head.in_flight));
                    return true;
                }
                AttemptOutcome::NotRun(why) => reason = why,
                AttemptOutcome::Unknown(why) => {
                    self.progress.runs += 1;
                    reason = why;
                }
                // The server ran the call but did not send a stream.
                AttemptOutcome::Answered(_) => return false,
            }
            self.call_log.record_failure(reason);
        }
    }
}

/// Returns whether a body has neither a length nor chunks and ends with its
/// connection.
fn is_unframed(exchange: &Exchange) -> bool {
    let headers = exchange.headers();
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Returns the media type of a response, without parameters.
fn read_media_type(exchange: &Exchange) -> Option<String> {
    let value = exchange.headers().get(CONTENT_TYPE)?.to_str().ok()?;
    let media_type = value.split(';').next().unwrap_or(value);
    Some(media_type.trim().to_ascii_lowercase())
}

fn count_events(events: &[u8]) -> u32 {
    let ends = events.windows(EVENT_TERMINATOR.len());
    let count = ends.filter(|window| *window == EVENT_TERMINATOR).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Returns whether there is a whole event with a field, rather than only comments.
fn has_data(events: &[u8]) -> bool {
    let end = find_last_match(events, EVENT_TERMINATOR).unwrap_or(0);
    let mut lines = events[..end].split(|&byte| byte == b'\n');
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

fn find_last_match(buffer: &[u8], pattern: &[u8]) -> Option<usize> {
    buffer
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

fn find_last_event_id(events: &[u8]) -> Option<String> {
    let line = events
        .split(|&byte| byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(ID_FIELD_PREFIX))?;
    let id = std::str::from_utf8(line).ok()?;
    Some(id.trim().to_owned())
}
