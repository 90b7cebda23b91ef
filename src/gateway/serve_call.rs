//! A call from its head to its answer.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::unfold;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::attempt::AttemptEnd;
use super::attempt::StreamHead;
use super::attempt::UNREACHABLE;
use super::attempt::WholeAnswer;
use super::attempt::attempt_call;
use super::context::GatewayContext;
use super::log_call::CallLog;
use super::read_call::Call;
use super::read_call::read_call;
use super::relay_stream::StreamRelay;
use crate::core::fleet::BackendKey;
use crate::core::fleet::CallRefusal;
use crate::core::fleet::Choice;
use crate::core::fleet::NoBackend;
use crate::http::AnswerBody;
use crate::http::StreamCut;
use crate::http::full_body;

/// Servers that one call is sent to at most, those included that turn it
/// away: by then the whole service is most likely full.
pub(super) const MAX_SENDS: usize = 4;

/// Time to come back after for a call that servers turned away.
const TURNED_AWAY_RETRY: Duration = Duration::from_millis(300);

/// Bounds of the time to come back after.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(150);
const MOST_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Part by which times to come back after are spread, so that callers that
/// were refused together do not return together.
const RETRY_SPREAD: f64 = 0.6;

/// Why a call has no answer of a server.
enum Failure {
    Refused(CallRefusal),
    Unknown(&'static str),
}

/// Serves one call.
pub async fn serve_call(cx: Arc<GatewayContext>, req: Request<Incoming>) -> Response<AnswerBody> {
    let received = Instant::now();
    let (parts, body) = req.into_parts();
    let head = match cx.ports.dialect.read_call_head(&parts) {
        Ok(head) => head,
        Err(refusal) => return refuse(&cx, refusal, b"", received),
    };
    let id = head.id.clone();
    let call = match read_call(&cx, parts, head, body, received).await {
        Ok(call) => call,
        Err(refusal) => return refuse(&cx, refusal, &id, received),
    };
    let mut response = run_call(&cx, call).await;
    close_while_draining(&cx, response.headers_mut());
    response
}

async fn run_call(cx: &Arc<GatewayContext>, call: Call) -> Response<AnswerBody> {
    let mut log = CallLog::new(cx, &call);
    let now = cx.now();
    cx.lock().retries.add_request(&call.service, now);
    let id = call.head.id.clone();
    let mut tried: Vec<BackendKey> = Vec::new();
    let mut runs = 0;
    let mut kept: Option<WholeAnswer> = None;
    let mut last = Failure::Refused(CallRefusal::NoServer(TURNED_AWAY_RETRY));
    let mut reason = "first";
    while tried.len() < MAX_SENDS && !call.time_left().is_zero() {
        let choice = match choose(cx, &call, &tried) {
            Ok(choice) => choice,
            Err(refusal) => {
                if tried.is_empty() {
                    last = Failure::Refused(refusal);
                }
                log.note_failure(refusal.code());
                break;
            }
        };
        log.log_send(&choice, reason);
        tried.push(choice.key);
        let may_leave = call.may_run_again(runs + 1);
        match attempt_call(cx, &call, choice, None, may_leave).await {
            AttemptEnd::Answered(answer) => {
                runs += 1;
                if !answer.status.is_server_error() || !call.may_run_again(runs) {
                    log.end("answered", answer.status.as_u16());
                    return to_response(answer);
                }
                reason = "server-failed";
                kept = Some(answer);
            }
            AttemptEnd::Streaming(head) => {
                return begin_stream(cx, call, *head, tried, runs + 1, log).await;
            }
            AttemptEnd::NotRun(why) => {
                reason = why;
                if !matches!(last, Failure::Unknown(_)) {
                    last = Failure::Refused(CallRefusal::NotAccepted(TURNED_AWAY_RETRY));
                }
            }
            AttemptEnd::Unknown(why) => {
                runs += 1;
                reason = why;
                last = Failure::Unknown(why);
                if !call.may_run_again(runs) {
                    break;
                }
            }
        }
        log.note_failure(reason);
        if reason != UNREACHABLE && !cx.take_repeat(&call.service) {
            log.note_failure("no-repeats-left");
            break;
        }
    }
    if let Some(answer) = kept {
        log.end("answered", answer.status.as_u16());
        return to_response(answer);
    }
    finish_unanswered(cx, &call, last, &id, &mut log)
}

fn finish_unanswered(
    cx: &GatewayContext,
    call: &Call,
    last: Failure,
    id: &[u8],
    log: &mut CallLog,
) -> Response<AnswerBody> {
    match last {
        Failure::Refused(refusal) => {
            if let Some(account) = &call.account {
                let now = cx.now();
                cx.lock().quota.give_back(account, call.tokens, now);
            }
            log.end(refusal.code(), refusal.status());
            make_refusal(cx, refusal, id)
        }
        Failure::Unknown(why) => {
            let status = if call.time_left().is_zero() {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            log.end(why, status.as_u16());
            make_answer(cx, status, why, id)
        }
    }
}

/// Answers with a stream once its first events have come.
async fn begin_stream(
    cx: &Arc<GatewayContext>,
    call: Call,
    head: StreamHead,
    tried: Vec<BackendKey>,
    runs: u32,
    log: CallLog,
) -> Response<AnswerBody> {
    let id = call.head.id.clone();
    let is_late = call.deadline;
    let StreamHead {
        status,
        headers,
        exchange,
        in_flight,
    } = head;
    let mut relay = StreamRelay::new(cx, call, (exchange, in_flight), tried, runs, log);
    let first = match relay.next().await {
        Ok(first) => first,
        Err(StreamCut) => {
            let status = if Instant::now() >= is_late {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            return make_answer(cx, status, "stream-broken", &id);
        }
    };
    let frames = unfold((first, Some(relay)), |(first, relay)| async move {
        let mut relay = relay?;
        if let Some(events) = first {
            return Some((Ok(Frame::data(events)), (None, Some(relay))));
        }
        match relay.next().await {
            Ok(Some(events)) => Some((Ok(Frame::data(events)), (None, Some(relay)))),
            Ok(None) => None,
            Err(cut) => Some((Err(cut), (None, None))),
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn choose(cx: &GatewayContext, call: &Call, tried: &[BackendKey]) -> Result<Choice, CallRefusal> {
    let now = cx.now();
    let req = call.dispatch_request(tried);
    let chosen = cx.lock().dispatcher.choose(&req, now);
    chosen.map_err(|none| match none {
        NoBackend::None(after) => CallRefusal::NoServer(after),
        NoBackend::TooBusy(predicted) => CallRefusal::Overloaded(predicted),
    })
}

fn to_response(answer: WholeAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// Refuses a call that was not admitted.
fn refuse(
    cx: &GatewayContext,
    refusal: CallRefusal,
    id: &[u8],
    received: Instant,
) -> Response<AnswerBody> {
    let passed = received.elapsed();
    cx.metrics.count_call(refusal.code(), passed);
    let version = cx.lock().configuration_version();
    log::info!(
        "call: refused id={} config={version} outcome={} status={} ms={}",
        std::str::from_utf8(id).unwrap_or("not-text"),
        refusal.code(),
        refusal.status(),
        passed.as_millis(),
    );
    let mut response = make_refusal(cx, refusal, id);
    close_while_draining(cx, response.headers_mut());
    response
}

fn make_refusal(cx: &GatewayContext, refusal: CallRefusal, id: &[u8]) -> Response<AnswerBody> {
    let status =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = make_answer(cx, status, refusal.code(), id);
    if let Some(after) = refusal.retry_after() {
        let after = after
            .clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER)
            .as_secs_f64();
        let spread = after * (1.0 + RETRY_SPREAD * rand::random::<f64>());
        if let Ok(value) = HeaderValue::from_str(&format!("{spread:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

fn make_answer(
    cx: &GatewayContext,
    status: StatusCode,
    text: &'static str,
    id: &[u8],
) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(format!("{text}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    cx.ports.dialect.write_call_id(headers, id);
    response
}

fn close_while_draining(cx: &GatewayContext, headers: &mut HeaderMap) {
    if cx.is_draining() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
