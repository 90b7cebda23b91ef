//! Serves a call: reads it, sends it to servers and responds to the caller.

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

use super::admission::wait_for_server;
use super::attempt::AttemptOutcome;
use super::attempt::FullResponse;
use super::attempt::SILENT;
use super::attempt::StreamingResponse;
use super::attempt::UNREACHABLE;
use super::call_log::CallLog;
use super::call_progress::CallProgress;
use super::choose_with_room::choose_with_room;
use super::context::GatewayContext;
use super::hedged_attempt::attempt_hedged;
use super::read_call::Call;
use super::read_call::read_call;
use super::share_quarantine::record_completion;
use super::stream_keepers::find_stream_build;
use super::stream_relay::StreamRelay;
use super::unread_call::UnreadCall;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::BackendKey;
use crate::core::fleet::Build;
use crate::core::fleet::CallRefusal;
use crate::core::fleet::DispatchError;
use crate::core::fleet::StreamKey;
use crate::http::BodyAborted;
use crate::http::HttpBody;
use crate::http::full_body;

/// Maximum number of servers that one call is sent to, including those that
/// reject it. After that many rejections the whole service is probably full.
pub(super) const MAX_SENDS_PER_CALL: usize = 4;

/// Retry-After of a call that servers rejected or whose deadline passed before
/// it was sent, before jitter.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Minimum Retry-After of a refused call, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Maximum Retry-After of a refused call, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Maximum Retry-After of a call that is quarantined, or whose servers want no calls,
/// before jitter: an earlier retry is refused again.
const MAX_LONG_RETRY_AFTER: Duration = Duration::from_secs(600);

/// Maximum jitter as a fraction of Retry-After, so that callers that were
/// refused together do not return together. Callers of servers with limits are spread
/// further, by [`ServerLimits::excess`](crate::core::fleet::ServerLimits::excess).
const RETRY_AFTER_JITTER: f64 = 0.6;

/// Why a call got no response from a server. A refused call has not run; the
/// others may have run.
enum CallFailure {
    Refused(CallRefusal),
    Unknown(&'static str),
}

/// Serves one call and returns the response for its caller.
pub async fn serve_call(cx: Arc<GatewayContext>, req: Request<Incoming>) -> Response<HttpBody> {
    let received_at = Instant::now();
    let (parts, body) = req.into_parts();
    let head = match cx.ports.dialect.read_call_head(&parts) {
        Ok(head) => head,
        Err(refusal) => return refuse_call(&cx, refusal, b"", received_at),
    };
    let id = head.id.clone();
    let unread = UnreadCall::new(&cx, &id, received_at);
    let read = read_call(&cx, parts, head, body, received_at).await;
    unread.finish();
    let call = match read {
        Ok(call) => call,
        Err(refusal) => return refuse_call(&cx, refusal, &id, received_at),
    };
    let mut response = tokio::select! {
        biased;
        response = dispatch_call(&cx, call) => response,
        () = cx.drain.wait_until_over() => {
            build_error_response(&cx, StatusCode::GATEWAY_TIMEOUT, "stopping", &id)
        }
    };
    close_connection_if_draining(&cx, response.headers_mut());
    response
}

async fn dispatch_call(cx: &Arc<GatewayContext>, call: Call) -> Response<HttpBody> {
    let call = Arc::new(call);
    let mut call_log = CallLog::new(cx, &call);
    let now = cx.now();
    {
        let mut state = cx.lock();
        state.retries.record_request(&call.service, now);
        state.dispatcher.server_limits.record_call(now);
    }
    let id = call.head.id.clone();
    let mut progress = CallProgress::default();
    let mut failed_response: Option<FullResponse> = None;
    let mut failure = CallFailure::Refused(CallRefusal::NoServer(REJECTED_RETRY_AFTER));
    let mut reason = "first";
    match find_begun_build(cx, &call).await {
        Ok(build) => progress.build = build,
        Err(refusal) => {
            let failure = CallFailure::Refused(refusal);
            return respond_to_failure(cx, &call, failure, &id, &mut call_log);
        }
    }
    while progress.tried.len() < MAX_SENDS_PER_CALL && !call.time_left().is_zero() {
        let choice = match choose_unless_stopping(cx, &call, &mut progress).await {
            Ok(choice) => choice,
            Err(refusal) => {
                let tells_when = matches!(
                    refusal,
                    CallRefusal::ServersPaused(_)
                        | CallRefusal::ServersLimited(_)
                        | CallRefusal::QuarantinedPart(_)
                        | CallRefusal::QuarantinedCall(_)
                        | CallRefusal::NotAdmitted(_)
                        | CallRefusal::Stopping(_)
                ) && matches!(failure, CallFailure::Refused(_));
                if progress.tried.is_empty() || tells_when {
                    failure = CallFailure::Refused(refusal);
                }
                call_log.record_failure(refusal.code());
                break;
            }
        };
        call_log.log_send(&choice, reason);
        progress.tried.push(choice.key);
        let outcome = attempt_hedged(cx, &call, choice, &mut progress, &mut call_log).await;
        let may_run_again = call.may_run_again(progress.runs);
        match outcome {
            AttemptOutcome::Answered(response) => {
                record_completion(cx, &call, response.status);
                if !response.status.is_server_error() || !may_run_again {
                    call_log.log_end("answered", response.status.as_u16());
                    return into_response(response);
                }
                reason = "server-failed";
                failed_response = Some(response);
            }
            AttemptOutcome::Streaming(head) => {
                return start_stream(cx, call, *head, progress, call_log).await;
            }
            AttemptOutcome::NotRun(why) => {
                reason = why;
                if !matches!(failure, CallFailure::Unknown(_)) {
                    failure = CallFailure::Refused(CallRefusal::NotAccepted(REJECTED_RETRY_AFTER));
                }
            }
            AttemptOutcome::Unknown(why) => {
                reason = why;
                failure = CallFailure::Unknown(why);
                if !may_run_again {
                    break;
                }
            }
        }
        call_log.record_failure(reason);
        // A silent server is left only if no other one can be had.
        if reason == SILENT || call.time_left().is_zero() {
            break;
        }
        // An unreachable server got no byte of the call, so the next attempt takes
        // nothing from the retry budget.
        if reason != UNREACHABLE && !cx.take_retry(&call.service) {
            call_log.record_failure("no-repeats-left");
            break;
        }
    }
    if let Some(response) = failed_response {
        call_log.log_end("answered", response.status.as_u16());
        return into_response(response);
    }
    respond_to_failure(cx, &call, failure, &id, &mut call_log)
}

/// Chooses the server of a call like [`wait_for_server`], unless the gateway stops and
/// the call may outlast it.
pub(super) async fn choose_unless_stopping(
    cx: &GatewayContext,
    call: &Call,
    progress: &mut CallProgress,
) -> Result<BackendChoice, CallRefusal> {
    // A late stream is refused before a server is kept for it.
    check_stop(cx, call, Duration::ZERO)?;
    let choice = wait_for_server(cx, call, progress).await?;
    check_stop(cx, call, choice.predicted_end)?;
    Ok(choice)
}

/// Checks that a gateway that stops may still send on a call whose response is expected to
/// be whole after `predicted_end`.
///
/// # Errors
///
/// The call may outlast the stop.
pub(super) fn check_stop(
    cx: &GatewayContext,
    call: &Call,
    predicted_end: Duration,
) -> Result<(), CallRefusal> {
    let is_stream = call.route.kind.is_stream();
    let now = cx.now();
    let is_allowed = cx
        .drain
        .plan()
        .is_none_or(|plan| plan.allows_send(is_stream, call.time_left(), predicted_end, now));
    if is_allowed {
        Ok(())
    } else {
        Err(CallRefusal::Stopping(MIN_RETRY_AFTER))
    }
}

/// Responds to a call that no server answered. The account gets its tokens back
/// if the call was refused.
fn respond_to_failure(
    cx: &GatewayContext,
    call: &Call,
    failure: CallFailure,
    id: &[u8],
    call_log: &mut CallLog,
) -> Response<HttpBody> {
    match failure {
        CallFailure::Refused(refusal) => {
            if let Some(account) = &call.account {
                let now = cx.now();
                cx.lock().quota.refund(account, call.charged_tokens, now);
            }
            call_log.log_end(refusal.code(), refusal.status());
            build_refusal(cx, refusal, id)
        }
        CallFailure::Unknown(why) => {
            let status = if call.time_left().is_zero() {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            call_log.log_end(why, status.as_u16());
            build_error_response(cx, status, why, id)
        }
    }
}

/// Returns a streaming response once its first events have arrived.
async fn start_stream(
    cx: &Arc<GatewayContext>,
    call: Arc<Call>,
    head: StreamingResponse,
    progress: CallProgress,
    mut call_log: CallLog,
) -> Response<HttpBody> {
    let id = call.head.id.clone();
    let deadline = call.deadline;
    let StreamingResponse {
        status,
        headers,
        exchange,
        in_flight,
    } = head;
    call_log.record_server_act(&in_flight.choice().name, "head", 0);
    let mut relay = StreamRelay::new(cx, call, (exchange, in_flight), progress, call_log);
    let first_events = match relay.next_events().await {
        Ok(first_events) => first_events,
        Err(BodyAborted) => {
            let status = if Instant::now() >= deadline {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            return build_error_response(cx, status, "stream-broken", &id);
        }
    };
    let frames = unfold(
        (first_events, Some(relay)),
        |(first_events, relay)| async move {
            let mut relay = relay?;
            if let Some(events) = first_events {
                return Some((Ok(Frame::data(events)), (None, Some(relay))));
            }
            match relay.next_events().await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), (None, Some(relay)))),
                Ok(None) => None,
                Err(aborted) => Some((Err(aborted), (None, None))),
            }
        },
    );
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns the build at which the stream began that a call takes up; `None` if it
/// takes up none.
///
/// # Errors
///
/// The build is not known, and the stream must not go on at any other.
async fn find_begun_build(cx: &GatewayContext, call: &Call) -> Result<Option<Build>, CallRefusal> {
    let Some(resumption) = call.head.resumption.as_ref() else {
        return Ok(None);
    };
    if !call.route.kind.is_stream() {
        return Ok(None);
    }
    let stream = resumption.first_call_id.as_ref();
    let stream = stream.map(|id| StreamKey::from_call_id(id));
    find_stream_build(cx, stream, &call.service)
        .await
        .map(Some)
        .ok_or(CallRefusal::UnknownStream(REJECTED_RETRY_AFTER))
}

/// Chooses the server of a call now, other than those that it was sent to and those in
/// `avoid`.
///
/// # Errors
///
/// The call must not be sent, or no server accepts it.
pub fn choose_server(
    cx: &GatewayContext,
    call: &Call,
    progress: &CallProgress,
    avoid: &[BackendKey],
) -> Result<BackendChoice, CallRefusal> {
    choose_with_room(cx, call, progress, avoid).map_err(refusal_for_error)
}

/// Returns the refusal of a call for which no server was chosen.
pub fn refusal_for_error(e: DispatchError) -> CallRefusal {
    match e {
        DispatchError::NoServer(retry_after) => CallRefusal::NoServer(retry_after),
        DispatchError::Paused(time_left) => CallRefusal::ServersPaused(time_left),
        DispatchError::Limited(time_left) => CallRefusal::ServersLimited(time_left),
        DispatchError::QuarantinedPart(time_left) => CallRefusal::QuarantinedPart(time_left),
        DispatchError::QuarantinedCall(time_left) => CallRefusal::QuarantinedCall(time_left),
        // Holds the predicted time to the first token.
        DispatchError::Overloaded(retry_after) => CallRefusal::Overloaded(retry_after),
    }
}

fn into_response(full_response: FullResponse) -> Response<HttpBody> {
    let mut response = Response::new(full_body(full_response.body));
    *response.status_mut() = full_response.status;
    *response.headers_mut() = full_response.headers;
    response
}

/// Counts, logs and refuses a call before it is dispatched.
fn refuse_call(
    cx: &GatewayContext,
    refusal: CallRefusal,
    id: &[u8],
    received_at: Instant,
) -> Response<HttpBody> {
    let elapsed = received_at.elapsed();
    cx.metrics.count_call(refusal.code(), elapsed);
    let version = cx.lock().configuration_version();
    log::info!(
        "call: refused id={} config={version} outcome={} status={} ms={}",
        std::str::from_utf8(id).unwrap_or("not-text"),
        refusal.code(),
        refusal.status(),
        elapsed.as_millis(),
    );
    let mut response = build_refusal(cx, refusal, id);
    close_connection_if_draining(cx, response.headers_mut());
    response
}

fn build_refusal(cx: &GatewayContext, refusal: CallRefusal, id: &[u8]) -> Response<HttpBody> {
    let status =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = build_error_response(cx, status, refusal.code(), id);
    if let Some(after) = refusal.retry_after() {
        let longest = if matches!(
            refusal,
            CallRefusal::QuarantinedPart(_)
                | CallRefusal::QuarantinedCall(_)
                | CallRefusal::ServersPaused(_)
                | CallRefusal::ServersLimited(_)
                | CallRefusal::NotAdmitted(_)
        ) {
            MAX_LONG_RETRY_AFTER
        } else {
            MAX_RETRY_AFTER
        };
        let retry_after = after.clamp(MIN_RETRY_AFTER, longest).as_secs_f64();
        let jitter = match refusal {
            CallRefusal::ServersLimited(_) => {
                let now = cx.now();
                let excess = cx.lock().dispatcher.server_limits.excess(now);
                excess.max(RETRY_AFTER_JITTER)
            }
            // These times are spread already, and a third of the caller's time at most.
            CallRefusal::NotAdmitted(_) => 0.0,
            _ => RETRY_AFTER_JITTER,
        };
        let jittered = retry_after * (1.0 + jitter * rand::random::<f64>());
        if let Ok(value) = HeaderValue::from_str(&format!("{jittered:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

fn build_error_response(
    cx: &GatewayContext,
    status: StatusCode,
    error_code: &'static str,
    id: &[u8],
) -> Response<HttpBody> {
    let mut response = Response::new(full_body(format!("{error_code}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    cx.ports.dialect.write_call_id(headers, id);
    response
}

fn close_connection_if_draining(cx: &GatewayContext, headers: &mut HeaderMap) {
    if cx.is_draining() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
