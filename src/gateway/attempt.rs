//! Sends a call to one backend server and classifies the outcome.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::HOST;
use hyper::Request;
use tokio::time::timeout;
use tokio::time::timeout_at;

use super::admission::observe_start;
use super::context::GatewayContext;
use super::held_weights::HeldWeights;
use super::outstanding_bytes::OutstandingBytes;
use super::permit_builds::record_outcome;
use super::read_call::Call;
use super::report_break::report_break;
use super::server_wait::ServerWait;
use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::HoldPurpose;
use crate::core::fleet::Holder;
use crate::http::Exchange;
use crate::http::HttpBody;
use crate::http::empty_body;
use crate::http::full_body;
use crate::http::strip_hop_by_hop_headers;
use crate::ports::ForwardMetadata;
use crate::ports::ResponseMetadata;

/// Maximum size of a response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of the body of a refusal that is read so that its connection can be
/// reused, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Timeout for reading the body of a refusal, so that its connection can be
/// reused.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum share by which the pause that a server asks for is prolonged.
const PAUSE_JITTER: f64 = 0.2;

/// Reason of an attempt whose server could not be reached. No byte was sent, so
/// the attempt does not count against the retry budget.
pub const UNREACHABLE: &str = "unreachable";

/// Reason of attempts whose response has not begun before the deadline.
pub const SILENT: &str = "silent";

/// Reasons of attempts whose connection failed before the head and in the body of
/// the response.
const BROKEN: &str = "broken";
const ANSWER_BROKEN: &str = "answer-broken";

/// Outcome of an attempt. The reasons are also labels in metrics:
///
/// - `unreachable`: no byte was sent.
/// - `silent`, `answer-silent`: the head or the body of the response did not
///   arrive before the deadline, or before another server had a response.
/// - `broken`, `answer-broken`: the connection failed before the head or in the
///   body.
/// - `turned-away`: the server did not run the call.
/// - `other-weights`: it did not, because it has another weights version.
/// - `misdirected`: another server has taken over the address.
/// - `crossed-answer`: the response is for another call.
/// - `not-the-servers-answer`: the response does not come from the server, or an
///   intermediary has changed it.
/// - `unfounded-promise`: the status of the response promises the caller that the call did
///   not run, which the server has not said.
/// - `answer-without-identity`: a successful response names no call, or one on a
///   connection that was used before.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// Complete response, successful or not.
    Answered(FullResponse),
    /// Head of a stream of events.
    Streaming(Box<StreamingResponse>),
    /// The server certainly did not run the call; holds the reason.
    NotRun(&'static str),
    /// The call may have run; holds the reason.
    Unknown(&'static str),
}

impl AttemptOutcome {
    /// Returns the outcome's label in metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Streaming(_) => "streaming",
            Self::NotRun(reason) | Self::Unknown(reason) => reason,
        }
    }

    /// Returns why the attempt got no response; `None` if it got one.
    pub fn failure(&self) -> Option<&'static str> {
        match self {
            Self::Answered(_) | Self::Streaming(_) => None,
            Self::NotRun(reason) | Self::Unknown(reason) => Some(reason),
        }
    }
}

/// Complete response of a server.
#[derive(Debug)]
pub struct FullResponse {
    /// Status code that the server sent.
    pub status: StatusCode,
    /// Headers for the caller, without those of the server's connection.
    pub headers: HeaderMap,
    /// Complete body. Its bytes are reserved until the caller has taken them.
    pub body: Bytes,
}

/// Streaming response whose head has arrived.
#[derive(Debug)]
pub struct StreamingResponse {
    /// Status code that the server sent.
    pub status: StatusCode,
    /// Headers for the caller, without those of the server's connection.
    pub headers: HeaderMap,
    /// Exchange that the rest of the body is read from.
    pub exchange: Exchange,
    /// Counts the call as in flight at its server until dropped.
    pub in_flight: InFlightGuard,
}

/// Counts a call as in flight at its server until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    cx: Arc<GatewayContext>,
    choice: BackendChoice,
    sent_at: MonotonicTime,
    is_prefilling: bool,
    /// Hold on the weights of the engine that the call gets parts from, until it begins.
    hold: Option<HeldWeights>,
    /// When the first event arrived, and how many have arrived since.
    first_event_at: MonotonicTime,
    later_events: u32,
    _bytes: OutstandingBytes,
}

impl InFlightGuard {
    /// Counts a call that is about to be sent, and passes it to
    /// [`AgentConnections::announce_call`](super::agent_connections::AgentConnections::announce_call),
    /// which announces calls with a long prompt to the agent of their engine.
    pub fn start(cx: &Arc<GatewayContext>, call: &Call, mut choice: BackendChoice) -> Self {
        choice.shows_start = call.route.kind.is_stream();
        let now = cx.now();
        let prompt = call.head.prompt.as_ref();
        cx.lock().dispatcher.begin_call(&choice, prompt, now);
        cx.agent_connections.announce_call(&choice);
        Self {
            _bytes: OutstandingBytes::start(cx, choice.key, call.body.len()),
            cx: Arc::clone(cx),
            choice,
            sent_at: now,
            is_prefilling: true,
            hold: None,
            first_event_at: now,
            later_events: 0,
        }
    }

    /// Returns the server that the call was sent to.
    pub fn choice(&self) -> &BackendChoice {
        &self.choice
    }

    /// Returns when the call was sent.
    pub fn sent_at(&self) -> MonotonicTime {
        self.sent_at
    }

    /// Holds the weights of the engine that the call gets parts from. Without the hold, the
    /// call computes the parts.
    async fn hold_weights(&mut self, call: &Call) {
        let (Some(prompt), Some(version)) = (&call.head.prompt, self.choice.version) else {
            return;
        };
        let Some(address) = self.choice.fetch_from else {
            return;
        };
        let source = {
            let state = self.cx.lock();
            if state.dispatcher.is_kv_cache_store(address) {
                return;
            }
            state.dispatcher.find_name_at(address).cloned()
        };
        if let Some(source) = source {
            self.hold = HeldWeights::request(&self.cx, &source, &prompt.model, version).await;
        }
        if self.hold.is_none() {
            self.choice.fetch_from = None;
        }
    }

    /// Ends the hold, since the call has begun or will not.
    fn release_weights(&mut self) {
        if let Some(hold) = self.hold.take() {
            hold.release();
        }
    }

    /// Records that `events` arrived. The first one ends the prefill.
    pub fn record_events(&mut self, call: &Call, events: u32) {
        if self.is_prefilling {
            self.record_first_token(call);
        } else {
            self.later_events += events;
        }
    }

    /// Records that the response is complete, for the speed of the server.
    pub fn record_complete(&mut self) {
        let now = self.cx.now();
        let elapsed = now.since(self.sent_at);
        let decoding = now.since(self.first_event_at);
        let predicted = self.choice.predicted_end;
        self.cx
            .metrics
            .observe_prediction("end", predicted, elapsed);
        let mut state = self.cx.lock();
        let dispatcher = &mut state.dispatcher;
        dispatcher.observe_decoding(&self.choice, self.later_events, decoding, now);
        if self.later_events > 0 {
            // The time in the queue before the first event is not known.
            let held = decoding + self.choice.prefill_time;
            dispatcher.observe_hold(&self.choice, held, now);
        } else if self.choice.waits_little() {
            dispatcher.observe_hold(&self.choice, elapsed, now);
        }
    }

    fn record_first_token(&mut self, call: &Call) {
        if !self.is_prefilling {
            return;
        }
        self.release_weights();
        let predicted = self.choice.predicted_ttft;
        observe_start(&self.cx, call, predicted, self.sent_at);
        if let Some(prompt) = &call.head.prompt {
            let now = self.cx.now();
            let elapsed = now.since(self.sent_at);
            self.first_event_at = now;
            self.cx
                .metrics
                .observe_prediction("first", predicted, elapsed);
            let mut state = self.cx.lock();
            state.dispatcher.observe_ttft(&self.choice, elapsed, now);
            state.dispatcher.record_saved_parts(&self.choice, prompt);
            state
                .dispatcher
                .record_first_token(&self.choice, &prompt.model, elapsed);
        }
        self.finish_prefill();
    }

    fn finish_prefill(&mut self) {
        if self.is_prefilling {
            self.is_prefilling = false;
            self.cx.lock().dispatcher.end_prefill(&self.choice);
            self.cx.waiting_calls.wake();
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        self.cx.lock().dispatcher.end_call(&self.choice);
        self.cx.waiting_calls.wake();
    }
}

/// Sends a call to a server and waits for the response, or for the head of a stream,
/// until the deadline of the call. `wait` tells meanwhile for how long the server has sent
/// nothing.
pub async fn attempt_call(
    cx: &Arc<GatewayContext>,
    call: &Call,
    choice: BackendChoice,
    last_event_id: Option<&str>,
    wait: &ServerWait,
) -> AttemptOutcome {
    let mut in_flight = InFlightGuard::start(cx, call, choice);
    in_flight.hold_weights(call).await;
    let sent_to = in_flight.choice().clone();
    let sent_at = in_flight.sent_at();
    let outcome = send_and_read(cx, call, in_flight, last_event_id, wait).await;
    record_attempt(cx, call, &sent_to, sent_at, &outcome);
    outcome
}

/// Records the outcome of an attempt at a server, to which it was sent at `sent_at`.
pub fn record_attempt(
    cx: &GatewayContext,
    call: &Call,
    sent_to: &BackendChoice,
    sent_at: MonotonicTime,
    outcome: &AttemptOutcome,
) {
    cx.metrics.count_attempt(outcome.label());
    if let AttemptOutcome::Unknown(BROKEN | ANSWER_BROKEN) = outcome {
        report_break(cx, call, sent_to, sent_at, None);
    }
    if let AttemptOutcome::Unknown(SILENT) = outcome {
        // What keeps one connection silent may affect all of them.
        cx.client.drop_idle_connections(sent_to.address);
    }
    record_outcome(cx, call, sent_to, sent_at, outcome);
    if let AttemptOutcome::Answered(response) = outcome
        && response.status.is_success()
    {
        // The time until a plain call begins is not seen; its own work counts as lateness.
        let predicted = if call.head.prompt.is_some() {
            sent_to.predicted_end
        } else {
            sent_to.predicted_ttft
        };
        observe_start(cx, call, predicted, sent_at);
    }
    let (key, now) = (sent_to.key, cx.now());
    let mut state = cx.lock();
    if !state.dispatcher.lists_run(sent_to) {
        return;
    }
    match outcome {
        AttemptOutcome::Answered(response) => {
            let is_failure = response.status.is_server_error();
            state.dispatcher.record_outcome(key, is_failure);
        }
        AttemptOutcome::Streaming(_) => {}
        AttemptOutcome::NotRun(reason) => {
            if *reason == UNREACHABLE {
                state.dispatcher.record_unreachable(key, now);
            }
            state.dispatcher.record_outcome(key, *reason == UNREACHABLE);
        }
        AttemptOutcome::Unknown(_) => state.dispatcher.record_outcome(key, true),
    }
}

async fn send_and_read(
    cx: &Arc<GatewayContext>,
    call: &Call,
    mut in_flight: InFlightGuard,
    last_event_id: Option<&str>,
    wait: &ServerWait,
) -> AttemptOutcome {
    let choice = in_flight.choice().clone();
    let sent_at = in_flight.sent_at;
    let build = || build_forward_request(cx, call, &choice, last_event_id);
    let send = cx.client.send_named(choice.address, &call.head.id, build);
    wait.begin();
    let sent = timeout_at(call.deadline, send).await;
    wait.end();
    let mut exchange = match sent {
        Err(_) => return AttemptOutcome::Unknown(SILENT),
        Ok(Err(e)) if e.is_certainly_unsent() => {
            in_flight.release_weights();
            forget_expected_parts(cx, call, &choice);
            return AttemptOutcome::NotRun(UNREACHABLE);
        }
        Ok(Err(e)) => {
            log::debug!("call: broken id={} reason=\"{e}\"", call.id_text());
            return AttemptOutcome::Unknown(BROKEN);
        }
        Ok(Ok(exchange)) => exchange,
    };
    let metadata = cx
        .ports
        .dialect
        .read_response(exchange.status(), exchange.headers());
    log_unusual_response(call, &choice, &metadata, &exchange);
    // Nothing in a response counts before it is known to be the server's own to this call.
    if let Some(problem) = find_response_mismatch(call, &metadata, &exchange) {
        return AttemptOutcome::Unknown(problem);
    }
    if metadata.call_id.is_some() {
        exchange.allow_reuse();
    }
    if let Some(pause) = metadata.pause {
        record_pause(cx, &choice, pause);
    }
    if metadata.is_leaving && !metadata.is_misdirected {
        record_leaving(cx, &choice);
    }
    if metadata.calls_per_s.is_some() && !metadata.is_misdirected {
        record_limit(cx, &choice, metadata.calls_per_s, sent_at);
    }
    // A rejection may come from a part of the server that does not know of the limit.
    if metadata.calls_per_s.is_none() && !metadata.is_not_run {
        record_limit(cx, &choice, None, sent_at);
    }
    record_response_metadata(cx, call, &choice, &metadata);
    if !metadata.is_not_run {
        let elapsed = cx.now().since(sent_at);
        let mut state = cx.lock();
        state.dispatcher.observe_first_answer(choice.key, elapsed);
    }
    if metadata.is_not_run {
        in_flight.release_weights();
        forget_expected_parts(cx, call, &choice);
        // The body is read only so that the connection can be reused.
        let _ = timeout(REFUSAL_BODY_TIMEOUT, exchange.read_rest(MAX_REFUSAL_BYTES)).await;
        return AttemptOutcome::NotRun(classify_not_run(cx, &choice, &metadata));
    }
    let status = exchange.status();
    if status_promises_not_run(status) && !call.route.kind.is_retryable() {
        return AttemptOutcome::Unknown("unfounded-promise");
    }
    let mut headers = exchange.headers().clone();
    strip_hop_by_hop_headers(&mut headers);
    if status.is_success() && call.route.kind.is_stream() {
        return AttemptOutcome::Streaming(Box::new(StreamingResponse {
            status,
            headers,
            exchange,
            in_flight,
        }));
    }
    let holder = Holder {
        server: Some(choice.address),
        ..call.holder.clone()
    };
    let mut reservation = cx.byte_budget.reserve_for(holder, HoldPurpose::RunningCall);
    // The whole length is reserved first: calls that each hold a part of a response could
    // wait for each other. The server is not at fault meanwhile.
    let declared_len = exchange.declared_len().min(MAX_RESPONSE_BYTES);
    match timeout_at(call.deadline, reservation.grow_to(declared_len)).await {
        Ok(true) => {}
        Ok(false) => return AttemptOutcome::Unknown(ANSWER_BROKEN),
        Err(_) => {
            log_missing_room(cx, call, &choice, declared_len);
            return AttemptOutcome::Unknown("answer-silent");
        }
    }
    let body_read = exchange.read_rest_in_budget(MAX_RESPONSE_BYTES, &mut reservation);
    wait.begin();
    match timeout_at(call.deadline, body_read).await {
        Ok(Ok(body)) => {
            reservation.end_receipt();
            in_flight.release_weights();
            record_full_response(cx, call, &mut in_flight, status);
            AttemptOutcome::Answered(FullResponse {
                status,
                headers,
                body: reservation.attach(body),
            })
        }
        Ok(Err(_)) => AttemptOutcome::Unknown(ANSWER_BROKEN),
        Err(_) => AttemptOutcome::Unknown("answer-silent"),
    }
}

/// Logs a response that waited for room until the deadline of its call.
fn log_missing_room(cx: &GatewayContext, call: &Call, choice: &BackendChoice, bytes: usize) {
    log::info!(
        "memory: no room for response id={} account={} server={} bytes={bytes} held_bytes={}",
        call.id_text(),
        call.account.as_ref().map_or("-", |name| name.as_str()),
        choice.name,
        cx.byte_budget.held()
    );
}

/// Logs a response that may be taken for a promise that the call did not run, or that
/// names another call.
fn log_unusual_response(
    call: &Call,
    choice: &BackendChoice,
    metadata: &ResponseMetadata,
    exchange: &Exchange,
) {
    let names_call = metadata.call_id.as_ref() == Some(&call.head.id);
    let status = exchange.status();
    if names_call && !metadata.is_not_run && !status_promises_not_run(status) {
        return;
    }
    log::info!(
        "call: rejected id={} server={} connection={} is_reused={} status={} names_call={names_call} says_not_run={} has_seal={}",
        call.id_text(),
        choice.name,
        exchange.connection_number().unwrap_or_default(),
        exchange.has_reused_connection(),
        status.as_u16(),
        metadata.is_not_run,
        metadata.has_seal,
    );
}

/// Returns whether a status promises the caller that the call has not run and will not.
fn status_promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Records the time of a successful response. Failures are often faster or slower than
/// the work would have been.
fn record_full_response(
    cx: &GatewayContext,
    call: &Call,
    in_flight: &mut InFlightGuard,
    status: StatusCode,
) {
    if !status.is_success() {
        return;
    }
    let now = cx.now();
    let elapsed = now.since(in_flight.sent_at);
    let (choice, route) = (&in_flight.choice, &call.route.name);
    {
        let mut state = cx.lock();
        let dispatcher = &mut state.dispatcher;
        if call.head.prompt.is_none() {
            dispatcher.observe_plain_response(choice, route, elapsed, now);
        } else {
            dispatcher.observe_whole_response(choice, route, elapsed, now);
        }
    }
    in_flight.record_complete();
}

/// Returns why a server did not run a call. If another server answered at its
/// address, it is also marked as replaced, so that it gets no calls for a time.
fn classify_not_run(
    cx: &GatewayContext,
    choice: &BackendChoice,
    metadata: &ResponseMetadata,
) -> &'static str {
    if !metadata.is_misdirected {
        return "turned-away";
    }
    let is_same_server = metadata
        .server
        .as_ref()
        .is_none_or(|name| *name == *choice.name.as_str());
    if is_same_server {
        return "other-weights";
    }
    log::info!(
        "members: replaced server={} address={} by={:?}",
        choice.name,
        choice.address,
        metadata.server
    );
    let now = cx.now();
    let mut state = cx.lock();
    if state.dispatcher.lists_run(choice) {
        state.dispatcher.mark_replaced(choice.key, now);
    }
    "misdirected"
}

/// Returns why a response is not the server's own response to this call, if it
/// is not.
fn find_response_mismatch(
    call: &Call,
    metadata: &ResponseMetadata,
    exchange: &Exchange,
) -> Option<&'static str> {
    let is_other_call = metadata
        .call_id
        .as_ref()
        .is_some_and(|id| *id != call.head.id);
    if is_other_call {
        return Some("crossed-answer");
    }
    // Servers name the call in all their responses. One that names none may belong to an
    // earlier request, even if it says that this call was not run.
    if metadata.call_id.is_none() && exchange.has_reused_connection() {
        return Some("answer-without-identity");
    }
    if metadata.is_not_run {
        return None;
    }
    // The seal is a header that marks a response as the server's own. Servers
    // do not encode bodies, so an encoded one was changed on the way.
    if !metadata.has_seal || metadata.is_encoded {
        return Some("not-the-servers-answer");
    }
    (exchange.status().is_success() && metadata.call_id.is_none())
        .then_some("answer-without-identity")
}

/// Records that the server responded, and its load and weights version if it
/// stated them, unless it has started again since the call was sent. Whether the call succeeded is recorded by [`attempt_call`].
fn record_response_metadata(
    cx: &GatewayContext,
    call: &Call,
    choice: &BackendChoice,
    metadata: &ResponseMetadata,
) {
    let now = cx.now();
    let mut state = cx.lock();
    state.record_answer(choice, now);
    if !state.dispatcher.lists_run(choice) {
        return;
    }
    if let Some(load) = metadata.load {
        state.dispatcher.observe_load(choice.key, load, now);
    }
    if let (Some(version), Some(prompt)) = (metadata.weights_version, &call.head.prompt) {
        state
            .dispatcher
            .observe_version(choice.key, &prompt.model, version);
    }
}

/// Records that a server wants no calls for a time. Entries that were told together
/// do not come back together.
fn record_pause(cx: &GatewayContext, choice: &BackendChoice, pause: Duration) {
    let now = cx.now();
    let jittered = pause.mul_f64(1.0 + PAUSE_JITTER * rand::random::<f64>());
    cx.lock().dispatcher.record_pause(choice, jittered, now);
    log::info!(
        "members: paused server={} asked_ms={} ms={}",
        choice.name,
        pause.as_millis(),
        jittered.as_millis()
    );
}

/// Records that a server has said that it leaves. Its running calls end whole.
fn record_leaving(cx: &GatewayContext, choice: &BackendChoice) {
    let now = cx.now();
    if let Some(server) = cx.lock().dispatcher.record_leaving(choice.run, now) {
        log::info!("members: leaving server={server} source=answer");
    }
}

/// Records how many calls a server takes from all entries together, or that it names no
/// limit.
fn record_limit(
    cx: &GatewayContext,
    choice: &BackendChoice,
    calls_per_s: Option<f64>,
    sent_at: MonotonicTime,
) {
    let now = cx.now();
    let is_changed = cx
        .lock()
        .dispatcher
        .record_server_limit(choice, calls_per_s, sent_at, now);
    if is_changed {
        log_limit(&choice.name, calls_per_s, "answer");
    }
}

/// Logs the limit that a server names, or that it names none any more.
pub fn log_limit(server: &ServerName, calls_per_s: Option<f64>, source: &str) {
    match calls_per_s {
        Some(limit) => {
            log::info!("members: limited server={server} calls_per_s={limit:.3} source={source}");
        }
        None => log::info!("members: limit ended server={server} source={source}"),
    }
}

/// Stops expecting the prompt parts of a call that did not run in the server's
/// cache.
fn forget_expected_parts(cx: &GatewayContext, call: &Call, choice: &BackendChoice) {
    let prompt = call.head.prompt.as_ref();
    cx.lock().dispatcher.forget_expected_parts(choice, prompt);
}

fn build_forward_request(
    cx: &GatewayContext,
    call: &Call,
    choice: &BackendChoice,
    last_event_id: Option<&str>,
) -> Request<HttpBody> {
    let mut headers = call.headers.clone();
    let metadata = ForwardMetadata {
        account: call.account.as_ref(),
        time_left: call.time_left(),
        server: &choice.name,
        weights_version: choice.version,
        cache_salt: choice.salt.as_ref(),
        kv_fetch_from: choice.fetch_from,
        kv_save_to: choice.save_to,
        // Only engines take a priority, and none above 9.
        priority: call.head.prompt.as_ref().map(|_| call.priority.min(9)),
        last_event_id,
    };
    cx.ports
        .dialect
        .write_forward_headers(&mut headers, &metadata);
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(&choice.address.to_string())
    {
        headers.insert(HOST, host);
    }
    let body = if call.body.is_empty() {
        empty_body()
    } else {
        full_body(call.body.clone())
    };
    let mut req = Request::new(body);
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = origin_form(call);
    *req.headers_mut() = headers;
    req
}

/// Returns only the path and query, even if the caller sent an absolute URI.
fn origin_form(call: &Call) -> http::Uri {
    call.uri
        .path_and_query()
        .cloned()
        .map_or_else(|| call.uri.clone(), http::Uri::from)
}
