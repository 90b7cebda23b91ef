//! Sends a call to further servers if the response of the first one is late, or if it is
//! silent.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep_until;

use super::attempt::AttemptOutcome;
use super::attempt::SILENT;
use super::call_log::CallLog;
use super::call_progress::CallProgress;
use super::choose_with_room::choose_with_room;
use super::context::GatewayContext;
use super::read_call::Call;
use super::running_attempts::LIVENESS_CHECK_INTERVAL;
use super::running_attempts::REPLACEMENT_INTERVAL;
use super::running_attempts::RunningAttempts;
use super::serve_call::MAX_SENDS_PER_CALL;
use super::serve_call::choose_unless_stopping;
use crate::core::MonotonicTime;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::BackendKey;
use crate::core::fleet::CallKind;

/// Minimum time before a second send, as a share of the route's latency objective. A
/// response that is late by less still arrives in time.
const MIN_DELAY_SHARE: f64 = 0.25;

/// Share of the time left before the deadline in which the second send must be made, so
/// that its response can still arrive.
const MAX_DELAY_SHARE: f64 = 0.5;

/// Share of the time left at the first send after which a call whose servers are silent is
/// given up if it can be sent to no other one: its caller may still repeat it elsewhere.
const MAX_SILENT_SHARE: f64 = 0.5;

/// Server that an attempt has ended at, and its outcome.
type Ended = (BackendKey, AttemptOutcome);

/// Sends a call to the chosen server, and counts its runs. If the call may run twice, it
/// is also sent to a second server with a free slot once it is answered later than most
/// calls of its route, if that goes to a service without models; and to another server
/// once its servers are silent. The first response that is no server error wins, and the
/// exchanges with other servers are dropped, which closes their connections. Until then
/// the call stays at all of them: the others may refuse it, and a silent one may answer.
pub async fn attempt_hedged(
    cx: &Arc<GatewayContext>,
    call: &Arc<Call>,
    choice: BackendChoice,
    progress: &mut CallProgress,
    call_log: &mut CallLog,
) -> AttemptOutcome {
    progress.runs += 1;
    let mut attempts = RunningAttempts::new(cx, call);
    attempts.start(choice.clone(), None);
    let hedged = HedgedAttempt {
        cx,
        call,
        progress,
        call_log,
        attempts,
        first: choice,
        sent_at: cx.now(),
        hedge: None,
        kept: None,
    };
    hedged.run().await
}

/// Call that is at one or more servers and has no response yet.
struct HedgedAttempt<'a> {
    cx: &'a GatewayContext,
    call: &'a Call,
    progress: &'a mut CallProgress,
    call_log: &'a mut CallLog,
    attempts: RunningAttempts,
    first: BackendChoice,
    sent_at: MonotonicTime,
    /// Second server of a call whose response is late.
    hedge: Option<BackendChoice>,
    /// Best outcome of the attempts that have ended.
    kept: Option<AttemptOutcome>,
}

impl HedgedAttempt<'_> {
    async fn run(mut self) -> AttemptOutcome {
        let now = Instant::now();
        let delay = find_delay(self.cx, self.call).filter(|_| self.may_run_again());
        let mut hedge_at = delay.map(|delay| now + delay);
        let give_up_at = now + self.call.time_left().mul_f64(MAX_SILENT_SHARE);
        let mut look_at = now + LIVENESS_CHECK_INTERVAL;
        loop {
            let wake_at = hedge_at.map_or(look_at, |at| at.min(look_at));
            let may_run_again = self.may_run_again();
            let mut ended: Option<Ended> = tokio::select! {
                biased;
                ended = self.attempts.next_outcome() => Some(ended),
                () = sleep_until(wake_at), if may_run_again => None,
            };
            let now = Instant::now();
            if ended.is_none() && hedge_at.take_if(|at| *at <= now).is_some() {
                self.start_hedge();
            } else if ended.is_none() && look_at <= now {
                look_at = now + LIVENESS_CHECK_INTERVAL;
                if self.attempts.are_silent() {
                    ended = self.start_replacement().await;
                    look_at = Instant::now() + REPLACEMENT_INTERVAL;
                    if ended.is_none() && now >= give_up_at && self.attempts.are_silent() {
                        return self.give_up();
                    }
                }
            }
            let Some((server, outcome)) = ended else {
                continue;
            };
            if is_response(&outcome) {
                self.end_others(server);
                return outcome;
            }
            // After a refusal, the next server is asked at once.
            look_at = now;
            if let Some(outcome) = self.record_failure(outcome) {
                return outcome;
            }
        }
    }

    fn may_run_again(&self) -> bool {
        self.call.may_run_again(self.progress.runs)
    }

    /// Sends a call whose response is late to a second server, if there is one.
    fn start_hedge(&mut self) {
        let Some(choice) = choose_second(self.cx, self.call, self.progress) else {
            return;
        };
        self.send(choice.clone(), "late");
        self.hedge = Some(choice);
    }

    /// Sends a call whose servers are silent to another one as well, if that can be done.
    /// Returns the outcome of an attempt that ends before.
    async fn start_replacement(&mut self) -> Option<Ended> {
        let silent = self.attempts.first_server()?.clone();
        if self.progress.tried.len() >= MAX_SENDS_PER_CALL {
            self.call_log.log_kept(&silent, "no-attempts-left");
            return None;
        }
        // A choice counts as a send for the rollout of its service.
        if !self.cx.has_retry(&self.call.service) {
            self.call_log.log_kept(&silent, "no-repeats-left");
            return None;
        }
        let chosen = tokio::select! {
            biased;
            ended = self.attempts.next_outcome() => return Some(ended),
            chosen = choose_unless_stopping(self.cx, self.call, self.progress) => chosen,
        };
        match chosen {
            Err(refusal) => self.call_log.log_kept(&silent, refusal.code()),
            Ok(_) if !self.cx.take_retry(&self.call.service) => {
                self.call_log.log_kept(&silent, "no-repeats-left");
            }
            Ok(choice) => {
                self.call_log.record_failure(SILENT);
                self.send(choice, SILENT);
            }
        }
        None
    }

    fn send(&mut self, choice: BackendChoice, reason: &'static str) {
        self.call_log.log_send(&choice, reason);
        self.progress.tried.push(choice.key);
        self.progress.runs += 1;
        self.attempts.start(choice, None);
    }

    /// Ends the other attempts, since `winner` has responded.
    fn end_others(mut self, winner: BackendKey) {
        if let Some(reason) = self.kept.as_ref().and_then(AttemptOutcome::failure) {
            self.call_log.record_failure(reason);
        }
        if let Some(hedge) = &self.hedge {
            log_winner(self.cx, self.call, winner, &self.first, hedge);
            if self.attempts.contains(self.first.key) {
                let elapsed = self.cx.now().since(self.sent_at);
                record_overtaken(self.cx, self.call, &self.first, elapsed);
            }
        }
        self.attempts.abandon();
    }

    /// Records an attempt that got no response. Returns the outcome of the call if it was
    /// the last one.
    fn record_failure(&mut self, outcome: AttemptOutcome) -> Option<AttemptOutcome> {
        if matches!(outcome, AttemptOutcome::NotRun(_)) {
            self.progress.runs -= 1;
        }
        let outcome = self.keep_better(outcome);
        if !self.attempts.is_empty() {
            self.kept = Some(outcome);
            return None;
        }
        if self.hedge.is_some() {
            self.cx.metrics.count_hedge("failed");
        }
        Some(outcome)
    }

    /// Gives up attempts at silent servers. Returns the outcome of the call.
    fn give_up(mut self) -> AttemptOutcome {
        self.attempts.abandon();
        if self.hedge.is_some() {
            self.cx.metrics.count_hedge("failed");
        }
        self.keep_better(AttemptOutcome::Unknown(SILENT))
    }

    /// Returns the outcome that tells the caller more, this one or the one kept before, and
    /// logs why the other attempt failed.
    fn keep_better(&mut self, outcome: AttemptOutcome) -> AttemptOutcome {
        let Some(before) = self.kept.take() else {
            return outcome;
        };
        let (kept, other) = if rank(&before) > rank(&outcome) {
            (before, outcome)
        } else {
            (outcome, before)
        };
        if let Some(reason) = other.failure() {
            self.call_log.record_failure(reason);
        }
        kept
    }
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

fn log_winner(
    cx: &GatewayContext,
    call: &Call,
    winner: BackendKey,
    first: &BackendChoice,
    hedge: &BackendChoice,
) {
    let (outcome, server) = if winner == first.key {
        ("lost", &first.name)
    } else if winner == hedge.key {
        ("won", &hedge.name)
    } else {
        return cx.metrics.count_hedge("failed");
    };
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
