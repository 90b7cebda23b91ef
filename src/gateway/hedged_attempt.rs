//! Sends a call to a second server if the response of the first one is late.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::Either;
use futures::future::select;
use tokio::time::timeout;

use super::attempt::AttemptOutcome;
use super::attempt::attempt_call;
use super::call_log::CallLog;
use super::call_progress::CallProgress;
use super::choose_with_room::choose_with_room;
use super::context::GatewayContext;
use super::read_call::Call;
use super::serve_call::MAX_SENDS_PER_CALL;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::CallKind;

/// Minimum time before a second send, as a share of the route's latency objective. A
/// response that is late by less still arrives in time.
const MIN_DELAY_SHARE: f64 = 0.25;

/// Share of the time left before the deadline in which the second send must be made, so
/// that its response can still arrive.
const MAX_DELAY_SHARE: f64 = 0.5;

/// Sends a call to the chosen server like [`attempt_call`]. If the call may run twice,
/// goes to a service without models and is answered later than most calls of its route,
/// it is also sent to a second server with a free slot. The first response that is no
/// server error wins; the exchange with the other server is dropped, which closes its
/// connection.
pub async fn attempt_hedged(
    cx: &Arc<GatewayContext>,
    call: &Call,
    choice: BackendChoice,
    progress: &mut CallProgress,
    call_log: &mut CallLog,
) -> AttemptOutcome {
    let may_run_again = call.may_run_again(progress.runs);
    let delay = find_delay(cx, call).filter(|_| may_run_again);
    let sent_at = cx.now();
    let first = attempt_call(cx, call, choice.clone(), None, may_run_again);
    let Some(delay) = delay else {
        return first.await;
    };
    let mut first = pin!(first);
    if let Ok(outcome) = timeout(delay, &mut first).await {
        return outcome;
    }
    let Some(second_choice) = choose_second(cx, call, progress) else {
        return first.await;
    };
    call_log.log_send(&second_choice, "late");
    progress.tried.push(second_choice.key);
    progress.runs += 1;
    let second_server = second_choice.name.clone();
    let may_run_again = call.may_run_again(progress.runs);
    let second = pin!(attempt_call(cx, call, second_choice, None, may_run_again));
    let (earlier, later) = match select(first, second).await {
        Either::Left((outcome, _)) if is_response(&outcome) => {
            log_winner(cx, call, "lost", choice.name.as_str());
            return outcome;
        }
        Either::Right((outcome, _)) if is_response(&outcome) => {
            record_overtaken(cx, call, &choice, cx.now().since(sent_at));
            log_winner(cx, call, "won", second_server.as_str());
            return outcome;
        }
        Either::Left((outcome, second)) => (outcome, second.await),
        Either::Right((outcome, first)) => (outcome, first.await),
    };
    cx.metrics.count_hedge("failed");
    let (kept, other) = if rank(&earlier) > rank(&later) {
        (earlier, later)
    } else {
        (later, earlier)
    };
    if matches!(other, AttemptOutcome::NotRun(_)) {
        progress.runs -= 1;
    }
    kept
}

/// Returns the time after which a response is late; `None` if the call must not be sent
/// twice or the usual time is not known.
fn find_delay(cx: &GatewayContext, call: &Call) -> Option<Duration> {
    if call.route.kind != CallKind::Idempotent || call.head.prompt.is_some() {
        return None;
    }
    let usual = cx
        .lock()
        .dispatcher
        .high_response_time(&call.service, &call.route.name)?;
    let minimum = call.route.latency_objective.mul_f64(MIN_DELAY_SHARE);
    let delay = usual.max(minimum);
    (delay <= call.time_left().mul_f64(MAX_DELAY_SHARE)).then_some(delay)
}

/// Chooses the second server; `None` if the service has no free slot or the retry budget
/// has none to spare.
fn choose_second(
    cx: &GatewayContext,
    call: &Call,
    progress: &CallProgress,
) -> Option<BackendChoice> {
    if progress.tried.len() >= MAX_SENDS_PER_CALL {
        return None;
    }
    let now = cx.now();
    let is_free = {
        let state = cx.lock();
        let dispatcher = &state.dispatcher;
        dispatcher.has_free_slot(&call.service, &progress.tried, now)
    };
    if !is_free {
        cx.metrics.count_hedge("no-free-slot");
        return None;
    }
    if !cx.lock().retries.has_spare(&call.service, now) {
        cx.metrics.count_hedge("no-budget");
        return None;
    }
    let choice = choose_with_room(cx, call, progress, &[]).ok()?;
    cx.take_retry(&call.service).then_some(choice)
}

/// Records that the first server took at least `elapsed`. Without that, only the times
/// of fast responses would be known, and calls would be sent twice ever sooner.
fn record_overtaken(cx: &GatewayContext, call: &Call, choice: &BackendChoice, elapsed: Duration) {
    let now = cx.now();
    let route = &call.route.name;
    cx.lock()
        .dispatcher
        .observe_overtaken(choice, route, elapsed, now);
}

fn log_winner(cx: &GatewayContext, call: &Call, outcome: &'static str, server: &str) {
    cx.metrics.count_hedge(outcome);
    log::info!("call: hedged id={} answered_by={server}", call.id_text());
}

/// Returns whether an outcome is a response that is delivered at once.
fn is_response(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered(response) => !response.status.is_server_error(),
        AttemptOutcome::Streaming(_) => true,
        AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => false,
    }
}

/// Returns how much an outcome tells the caller: a response more than none, and a call
/// that may have run more than one that has not.
fn rank(outcome: &AttemptOutcome) -> u8 {
    match outcome {
        AttemptOutcome::Answered(_) | AttemptOutcome::Streaming(_) => 2,
        AttemptOutcome::Unknown(_) => 1,
        AttemptOutcome::NotRun(_) => 0,
    }
}
