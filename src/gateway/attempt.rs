//! One attempt of a call at one backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::HOST;
use hyper::Request;
use tokio::time::timeout;

use super::context::GatewayContext;
use super::read_call::Call;
use super::wait_alive::wait_alive;
use crate::core::MonotonicTime;
use crate::core::fleet::Choice;
use crate::http::AnswerBody;
use crate::http::Exchange;
use crate::http::empty_body;
use crate::http::full_body;
use crate::http::strip_connection_headers;
use crate::ports::ForwardMetadata;
use crate::ports::ResponseMetadata;

/// Most bytes of an answer that is no stream.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Time for the body of a refusal, so that its connection can be kept.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Reason of an attempt whose server could not be reached: no byte left, so
/// it is no send that counts against the bound on repeats.
pub const UNREACHABLE: &str = "unreachable";

/// How an attempt went.
#[derive(Debug)]
pub enum AttemptEnd {
    /// A whole answer, success or not.
    Answered(WholeAnswer),
    /// A stream of events begins.
    Streaming(Box<StreamHead>),
    /// The server certainly did not run the call.
    NotRun(&'static str),
    /// The call may have run.
    Unknown(&'static str),
}

impl AttemptEnd {
    /// Returns the end's name in metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Streaming(_) => "streaming",
            Self::NotRun(reason) | Self::Unknown(reason) => reason,
        }
    }
}

/// A whole answer of a server.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A stream whose head has come.
#[derive(Debug)]
pub struct StreamHead {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// The rest.
    pub exchange: Exchange,
    /// Counts the call at its server until dropped.
    pub in_flight: InFlight,
}

/// Counts a call at its server until dropped.
#[derive(Debug)]
pub struct InFlight {
    cx: Arc<GatewayContext>,
    choice: Choice,
    begun_at: MonotonicTime,
    is_reading: bool,
}

impl InFlight {
    /// Counts a call that is about to be sent.
    pub fn begin(cx: &Arc<GatewayContext>, call: &Call, choice: Choice) -> Self {
        let now = cx.now();
        let prompt = call.head.prompt.as_ref();
        cx.lock().dispatcher.begin(&choice, prompt, now);
        cx.agents.announce(&choice);
        Self {
            cx: Arc::clone(cx),
            choice,
            begun_at: now,
            is_reading: true,
        }
    }

    /// Returns where the call is.
    pub fn choice(&self) -> &Choice {
        &self.choice
    }

    /// Takes note that the first token came.
    pub fn note_first_token(&mut self, call: &Call) {
        if self.is_reading
            && let Some(prompt) = &call.head.prompt
        {
            let now = self.cx.now();
            let passed = now.since(self.begun_at);
            let mut state = self.cx.lock();
            state.dispatcher.note_saved(&self.choice, prompt);
            state
                .dispatcher
                .note_first_token(&self.choice, &prompt.model, passed);
        }
        self.end_reading();
    }

    fn end_reading(&mut self) {
        if self.is_reading {
            self.is_reading = false;
            self.cx.lock().dispatcher.end_reading(&self.choice);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end_reading();
        self.cx.lock().dispatcher.end(&self.choice);
    }
}

/// Sends a call to a server and waits for its answer; of a stream, for its
/// head. `may_leave` tells that the call may go elsewhere if the server dies.
pub async fn attempt_call(
    cx: &Arc<GatewayContext>,
    call: &Call,
    choice: Choice,
    last_event: Option<&str>,
    may_leave: bool,
) -> AttemptEnd {
    let in_flight = InFlight::begin(cx, call, choice);
    let key = in_flight.choice().key;
    let end = exchange_call(cx, call, in_flight, last_event, may_leave).await;
    cx.metrics.count_attempt(end.label());
    let now = cx.now();
    let mut state = cx.lock();
    match &end {
        AttemptEnd::Answered(answer) => {
            let is_failure = answer.status.is_server_error();
            state.dispatcher.note_outcome(key, is_failure);
        }
        AttemptEnd::Streaming(_) => {}
        AttemptEnd::NotRun(reason) => {
            if *reason == UNREACHABLE {
                state.dispatcher.note_unreachable(key, now);
            }
            state.dispatcher.note_outcome(key, *reason == UNREACHABLE);
        }
        AttemptEnd::Unknown(_) => state.dispatcher.note_outcome(key, true),
    }
    end
}

async fn exchange_call(
    cx: &Arc<GatewayContext>,
    call: &Call,
    in_flight: InFlight,
    last_event: Option<&str>,
    may_leave: bool,
) -> AttemptEnd {
    let choice = in_flight.choice().clone();
    let req = make_request(cx, call, &choice, last_event);
    let sending = cx.client.send(choice.address, req);
    let sent = wait_alive(cx, choice.key, may_leave, call.deadline, sending).await;
    let mut exchange = match sent {
        None => return AttemptEnd::Unknown("silent"),
        Some(Err(e)) if e.is_certainly_unsent() => {
            forget_parts(cx, call, &choice);
            return AttemptEnd::NotRun(UNREACHABLE);
        }
        Some(Err(e)) => {
            log::debug!("call: broken id={} reason=\"{e}\"", call.id_text());
            return AttemptEnd::Unknown("broken");
        }
        Some(Ok(exchange)) => exchange,
    };
    let facts = cx
        .ports
        .dialect
        .read_response(exchange.status(), exchange.headers());
    if let Some(problem) = find_foreign(call, &facts, exchange.status()) {
        return AttemptEnd::Unknown(problem);
    }
    take_facts(cx, call, &choice, &facts);
    if facts.is_not_run {
        forget_parts(cx, call, &choice);
        // Only the connection's reuse depends on the body.
        let _ = timeout(REFUSAL_BODY_TIMEOUT, exchange.read_rest(MAX_ANSWER_BYTES)).await;
        return AttemptEnd::NotRun(explain_not_run(cx, &choice, &facts));
    }
    let mut headers = exchange.headers().clone();
    strip_connection_headers(&mut headers);
    let status = exchange.status();
    if status.is_success() && call.route.kind.is_stream() {
        return AttemptEnd::Streaming(Box::new(StreamHead {
            status,
            headers,
            exchange,
            in_flight,
        }));
    }
    let reading = exchange.read_rest(MAX_ANSWER_BYTES);
    match wait_alive(cx, choice.key, may_leave, call.deadline, reading).await {
        Some(Ok(body)) => AttemptEnd::Answered(WholeAnswer {
            status,
            headers,
            body,
        }),
        Some(Err(_)) => AttemptEnd::Unknown("answer-broken"),
        None => AttemptEnd::Unknown("answer-silent"),
    }
}

/// Finds why a server did not run a call, and draws the consequence.
fn explain_not_run(cx: &GatewayContext, choice: &Choice, facts: &ResponseMetadata) -> &'static str {
    if !facts.is_misdirected {
        return "turned-away";
    }
    let is_same = facts
        .server
        .as_ref()
        .is_none_or(|name| *name == *choice.name.as_str());
    if is_same {
        return "other-weights";
    }
    log::info!(
        "members: replaced server={} address={} by={:?}",
        choice.name,
        choice.address,
        facts.server
    );
    cx.lock().dispatcher.note_replaced(choice.key);
    "misdirected"
}

/// Finds what tells that an answer is not the server's to this call.
fn find_foreign(call: &Call, facts: &ResponseMetadata, status: StatusCode) -> Option<&'static str> {
    let is_other = facts.call_id.as_ref().is_some_and(|id| *id != call.head.id);
    if is_other {
        return Some("crossed-answer");
    }
    if facts.is_not_run {
        return None;
    }
    if !facts.has_seal || facts.is_encoded {
        return Some("not-the-servers-answer");
    }
    (status.is_success() && facts.call_id.is_none()).then_some("answer-without-identity")
}

fn take_facts(cx: &GatewayContext, call: &Call, choice: &Choice, facts: &ResponseMetadata) {
    let now = cx.now();
    let mut state = cx.lock();
    state.dispatcher.note_answer(choice.key, now);
    if let Some(load) = facts.load {
        state.dispatcher.observe_load(choice.key, load, now);
    }
    if let (Some(version), Some(prompt)) = (facts.weights_version, &call.head.prompt) {
        state
            .dispatcher
            .observe_version(choice.key, &prompt.model, version);
    }
}

fn forget_parts(cx: &GatewayContext, call: &Call, choice: &Choice) {
    let prompt = call.head.prompt.as_ref();
    cx.lock().dispatcher.forget(choice, prompt);
}

fn make_request(
    cx: &GatewayContext,
    call: &Call,
    choice: &Choice,
    last_event: Option<&str>,
) -> Request<AnswerBody> {
    let mut headers = call.headers.clone();
    let facts = ForwardMetadata {
        account: call.account.as_ref(),
        time_left: call.time_left(),
        server: &choice.name,
        weights_version: choice.version,
        cache_salt: choice.salt.as_ref(),
        kv_fetch_from: choice.fetch_from,
        kv_save_to: choice.save_to,
        priority: call.head.prompt.as_ref().map(|_| call.priority.min(9)),
        last_event_id: last_event,
    };
    cx.ports.dialect.write_forward_headers(&mut headers, &facts);
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

/// Returns path and query alone, also where the caller wrote a whole address.
fn origin_form(call: &Call) -> http::Uri {
    call.uri
        .path_and_query()
        .cloned()
        .map_or_else(|| call.uri.clone(), http::Uri::from)
}
