//! Relays the events of a stream from servers to the caller.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http::header::TRANSFER_ENCODING;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::attempt::AttemptOutcome;
use super::attempt::InFlightGuard;
use super::call_log::CallLog;
use super::call_progress::CallProgress;
use super::choose_with_room::choose_with_room;
use super::context::GatewayContext;
use super::event_bytes::complete_len;
use super::event_bytes::count_events;
use super::event_bytes::find_last_event_id;
use super::event_bytes::has_data;
use super::permit_builds::record_end;
use super::permit_builds::record_first_event;
use super::read_call::Call;
use super::report_break::report_break;
use super::running_attempts::LIVENESS_CHECK_INTERVAL;
use super::running_attempts::REPLACEMENT_INTERVAL;
use super::running_attempts::RunningAttempts;
use super::serve_call::MAX_SENDS_PER_CALL;
use super::serve_call::check_stop;
use super::share_quarantine::record_completion;
use super::stream_keepers::record_stream_start;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::BackendKey;
use crate::core::fleet::EventProgress;
use crate::core::fleet::HoldPurpose;
use crate::core::fleet::StreamKey;
use crate::core::fleet::StreamOrigin;
use crate::http::BodyAborted;
use crate::http::ByteReservation;
use crate::http::ClientError;
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

/// Why a stream does not go on elsewhere while its gateway stops.
const STOPPING: &str = "stopping";

/// Outcome of attempts to go on elsewhere that are not needed, since the server has sent an
/// event again.
const RECOVERED: &str = "recovered";

/// Relays the events of a stream to the caller. Only complete events are passed
/// on, so that a broken stream can be resumed at another server. A stream whose server is
/// silent stays there until another server has accepted it.
#[derive(Debug)]
pub struct StreamRelay {
    cx: Arc<GatewayContext>,
    call: Arc<Call>,
    upstream: Option<(Exchange, InFlightGuard)>,
    /// Attempts to go on at another server.
    successors: RunningAttempts,
    /// Why the last server was left; empty while none was.
    left_why: &'static str,
    /// Since when the relay waits for bytes of `upstream`.
    waiting_since: Instant,
    /// When another server is looked for next, if that is needed.
    look_at: Instant,
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

/// What happens next to a stream.
enum Step {
    /// The server has sent a chunk, or the end of the stream.
    Read(Result<Option<Bytes>, ClientError>),
    /// An attempt to go on at another server has ended.
    Attempted(AttemptOutcome),
    /// It is time to check whether the server is alive.
    Check,
    /// The deadline of the call has passed.
    TimedOut,
}

impl StreamRelay {
    /// Creates the relay of a stream whose head has arrived.
    pub fn new(
        cx: &Arc<GatewayContext>,
        call: Arc<Call>,
        upstream: (Exchange, InFlightGuard),
        progress: CallProgress,
        call_log: CallLog,
    ) -> Self {
        let now = Instant::now();
        Self {
            cx: Arc::clone(cx),
            reservation: cx
                .byte_budget
                .reserve_for(call.holder.clone(), HoldPurpose::RunningCall),
            successors: RunningAttempts::new(cx, &call),
            left_why: "",
            waiting_since: now,
            look_at: now,
            wanted_at: now,
            delivered_at: now,
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
        self.waiting_since = self.wanted_at;
        loop {
            if let Some(events) = self.take_events() {
                if has_data(&events) {
                    let now = self.cx.now();
                    self.event_progress.record_event(now, self.call.time_left());
                    self.record_events(&events);
                    self.drop_successors();
                }
                self.delivered_at = Instant::now();
                return Ok(Some(events));
            }
            if self.upstream.is_none() && self.successors.is_empty() {
                return Ok(None);
            }
            let waits_from = Instant::now();
            let held_bytes = self.buffer.len();
            let is_reserved = tokio::select! {
                biased;
                (_, outcome) = self.successors.next_outcome() => {
                    self.accept_outcome(outcome)?;
                    continue;
                }
                is_reserved = reserve_chunk(&mut self.reservation, held_bytes, &self.call) => {
                    is_reserved
                }
            };
            if !is_reserved {
                return Err(self.abort(NO_MEMORY));
            }
            // The server is not at fault meanwhile.
            self.waiting_since += waits_from.elapsed();
            match self.next_step().await {
                Step::Read(Ok(Some(chunk))) => self.accept_chunk(&chunk)?,
                Step::Read(Ok(None)) if self.is_unframed_start() => {
                    self.leave_broken("ended-before-event")?;
                }
                Step::Read(Ok(None)) if self.buffer.is_empty() => {
                    self.complete();
                    return Ok(None);
                }
                Step::Read(Ok(None)) => self.leave_broken("ended-within-event")?,
                Step::Read(Err(_)) => self.leave_broken("stream-broken")?,
                Step::Attempted(outcome) => self.accept_outcome(outcome)?,
                Step::Check if self.is_silent() => self.look_for_successor(STREAM_SILENT),
                Step::Check => {}
                Step::TimedOut => return Err(self.abort(STREAM_SILENT)),
            }
        }
    }

    /// Waits for bytes of the server, the outcome of an attempt at another one, or the next
    /// check. An attempt goes first: once its server has begun, the other one must end.
    async fn next_step(&mut self) -> Step {
        let deadline = self.call.deadline;
        let may_go_on = self.call.may_run_again(self.progress.runs) || !self.successors.is_empty();
        let check_at = (Instant::now() + LIVENESS_CHECK_INTERVAL).min(deadline);
        let wake_at = if may_go_on { check_at } else { deadline };
        let upstream = &mut self.upstream;
        let chunk = async {
            match upstream {
                Some((exchange, _)) => exchange.next_chunk().await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            (_, outcome) = self.successors.next_outcome() => Step::Attempted(outcome),
            chunk = chunk => Step::Read(chunk),
            () = sleep_until(wake_at) => {
                if Instant::now() >= deadline {
                    Step::TimedOut
                } else {
                    Step::Check
                }
            }
        }
    }

    /// Appends a chunk of the server.
    fn accept_chunk(&mut self, chunk: &[u8]) -> Result<(), BodyAborted> {
        self.waiting_since = Instant::now();
        let now = self.cx.now();
        self.buffer.extend_from_slice(chunk);
        if let Some((_, in_flight)) = &self.upstream {
            let choice = in_flight.choice();
            self.cx.lock().record_answer(choice, now);
            self.call_log
                .record_server_act(&choice.name, "body", self.buffer.len());
        }
        self.reservation.set_held(self.buffer.len());
        if self.buffer.len() > MAX_EVENT_BYTES && complete_len(&self.buffer).is_none() {
            return self.leave_broken(EVENT_TOO_LARGE);
        }
        let may_go_on = self.call.may_run_again(self.progress.runs);
        let is_stalled = self.event_progress.is_stalled(now) && !has_data(&self.buffer);
        if may_go_on && is_stalled && !self.is_reader_slow() {
            self.look_for_successor(STREAM_STALLED);
        }
        Ok(())
    }

    /// Goes on with the stream of an attempt that another server has accepted; else stays at
    /// the server, or tries the next one if that is lost.
    fn accept_outcome(&mut self, outcome: AttemptOutcome) -> Result<(), BodyAborted> {
        let (problem, may_retry) = match outcome {
            // Such as the text of an error, under a status of success.
            AttemptOutcome::Streaming(head)
                if read_media_type(&head.exchange) != self.media_type =>
            {
                ("not-a-stream", false)
            }
            AttemptOutcome::Streaming(head) => {
                self.close_upstream(true);
                self.successors.abandon();
                self.event_progress.restart();
                self.waiting_since = Instant::now();
                self.upstream = Some((head.exchange, head.in_flight));
                return Ok(());
            }
            // The server ran the call but did not send a stream.
            AttemptOutcome::Answered(_) => ("not-a-stream", false),
            AttemptOutcome::NotRun(why) => {
                self.progress.runs -= 1;
                (why, true)
            }
            AttemptOutcome::Unknown(why) => (why, true),
        };
        self.call_log.record_failure(problem);
        if self.upstream.is_some() || !self.successors.is_empty() {
            if may_retry {
                self.look_at = Instant::now();
            }
            return Ok(());
        }
        if may_retry {
            self.start_successor_or_abort(problem)
        } else {
            Err(self.abort(self.left_why))
        }
    }

    /// Leaves a server that cannot go on with the stream. Goes on at another one, or ends
    /// the stream.
    fn leave_broken(&mut self, problem: &'static str) -> Result<(), BodyAborted> {
        if self.is_reader_slow() {
            return Err(self.abort(READER_SLOW));
        }
        self.report_break();
        self.close_upstream(true);
        self.left_why = problem;
        if !self.successors.is_empty() {
            return Ok(());
        }
        self.start_successor_or_abort(problem)
    }

    /// Tries to go on at another server in place of one that was left; ends the stream if
    /// there is none.
    fn start_successor_or_abort(&mut self, reason: &'static str) -> Result<(), BodyAborted> {
        self.start_successor(reason).map_err(|why| {
            self.call_log.record_failure(why);
            self.abort(self.left_why)
        })
    }

    /// Tries to go on at another server as well, if it is time for that.
    fn look_for_successor(&mut self, reason: &'static str) {
        let now = Instant::now();
        if now < self.look_at || !self.successors.are_silent() {
            return;
        }
        self.look_at = now + REPLACEMENT_INTERVAL;
        if let Err(why) = self.start_successor(reason)
            && let Some((_, in_flight)) = &self.upstream
        {
            self.call_log.log_kept(&in_flight.choice().name, why);
        }
    }

    /// Sends the stream to another server, to go on after the last event that was taken.
    ///
    /// # Errors
    ///
    /// The stream can go on at no other server; holds the reason.
    fn start_successor(&mut self, reason: &'static str) -> Result<(), &'static str> {
        if self.upstream.is_some() && check_stop(&self.cx, &self.call, Duration::ZERO).is_err() {
            return Err(STOPPING);
        }
        let choice = self.choose_next()?;
        self.call_log.log_send(&choice, reason);
        self.progress.tried.push(choice.key);
        self.progress.runs += 1;
        self.successors.start(choice, self.last_event_id.clone());
        Ok(())
    }

    /// Ends attempts to go on elsewhere, since the server has sent an event.
    fn drop_successors(&mut self) {
        if !self.successors.is_empty() {
            self.call_log.record_failure(RECOVERED);
            self.successors.abandon();
        }
    }

    /// Ends the stream early.
    fn abort(&mut self, problem: &'static str) -> BodyAborted {
        self.close_upstream(problem == STREAM_SILENT);
        self.successors.abandon();
        self.call_log.log_end(problem, 502);
        BodyAborted
    }

    /// Ends the stream in order.
    fn complete(&mut self) {
        if let Some((_, in_flight)) = &mut self.upstream {
            in_flight.record_complete();
        }
        self.close_upstream(false);
        self.drop_successors();
        record_completion(&self.cx, &self.call, StatusCode::OK);
        self.call_log.log_end("complete", 200);
    }

    /// Returns whether nothing was received of a body that may end with the connection to a
    /// server that crashed.
    fn is_unframed_start(&self) -> bool {
        let exchange = self.upstream.as_ref().map(|(exchange, _)| exchange);
        self.progress.build.is_none() && exchange.is_some_and(is_unframed)
    }

    /// Returns whether the server is suspected dead; true if it is lost.
    fn is_silent(&self) -> bool {
        let Some(server) = self.current_server() else {
            return true;
        };
        let waited = self.waiting_since.elapsed();
        let now = self.cx.now();
        let state = self.cx.lock();
        state.dispatcher.is_suspected_dead(server, waited, now)
    }

    fn current_server(&self) -> Option<BackendKey> {
        let (_, in_flight) = self.upstream.as_ref()?;
        Some(in_flight.choice().key)
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

    /// Returns whether the caller read slowly before it wanted the next events. A stream
    /// that breaks then is not resumed: servers cut off what is not read, so the server is
    /// not at fault, and a retry would be taken from the budget of all callers.
    fn is_reader_slow(&self) -> bool {
        self.wanted_at.duration_since(self.delivered_at) >= MIN_READER_LAG
    }

    /// Reports the connection to the server as broken.
    fn report_break(&self) {
        if let Some((_, in_flight)) = &self.upstream {
            report_break(
                &self.cx,
                &self.call,
                in_flight.choice(),
                in_flight.sent_at(),
                self.first_event_at,
            );
        }
    }

    /// Takes the complete events out of the buffer and remembers the id of the
    /// last one.
    fn take_events(&mut self) -> Option<Bytes> {
        let events = self.buffer.split_to(complete_len(&self.buffer)?).freeze();
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
        // A choice counts as a send for the rollout of its service.
        if !self.cx.has_retry(&self.call.service) {
            return Err("no-repeats-left");
        }
        let choice = choose_with_room(&self.cx, &self.call, &self.progress, &[]);
        let choice = choice.map_err(|_| "no-server")?;
        if self.cx.take_retry(&self.call.service) {
            Ok(choice)
        } else {
            Err("no-repeats-left")
        }
    }
}

/// Reserves bytes for what is held of a stream and its next chunk, so that nothing is read
/// ahead without them. Returns false if there are none before the deadline of the call.
async fn reserve_chunk(reservation: &mut ByteReservation, held_bytes: usize, call: &Call) -> bool {
    let reserved = reservation.grow_to(held_bytes + CHUNK_BYTES);
    timeout_at(call.deadline, reserved).await.unwrap_or(false)
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
