//! Holds calls before they are sent, while servers have no room.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::call_progress::CallProgress;
use super::context::GatewayContext;
use super::exchange_peer_state::exchange_interval;
use super::read_call::Call;
use super::serve_call::choose_server;
use super::serve_call::refusal_for_error;
use super::share_quarantine::digest_if_needed;
use crate::core::MonotonicTime;
use crate::core::fleet::AdmissionDecision;
use crate::core::fleet::AdmissionRefusal;
use crate::core::fleet::AdmissionTicket;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::BackendKey;
use crate::core::fleet::CallRefusal;
use crate::core::fleet::Candidates;
use crate::core::fleet::DispatchRequest;
use crate::core::fleet::OfferedCall;
use crate::core::fleet::Prompt;
use crate::core::fleet::RefusalReason;
use crate::core::fleet::StartEstimate;

/// Interval between looks at waiting calls: load reports arrive in between.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Minimum time between two looks, so that many calls that end together cost one.
const MIN_LOOK_INTERVAL: Duration = Duration::from_millis(1);

/// Interval at which shares of silent entries are dropped while no call waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// Time left of a call for which servers are only looked at, so that long waits are no
/// error of the dispatcher.
const UNLIMITED_TIME: Duration = Duration::from_secs(3_600);

/// Cost of a call without a prompt, in tokens: that of a short prompt.
const PLAIN_CALL_TOKENS: u64 = 2_500;

/// Tasks of calls that wait.
#[derive(Debug, Default)]
pub struct WaitingCalls {
    tasks: Mutex<HashMap<AdmissionTicket, Arc<Notify>>>,
    look: Notify,
}

impl WaitingCalls {
    /// Has the waiting calls looked at soon, since there may be room for one.
    pub fn wake(&self) {
        if !self.lock().is_empty() {
            self.look.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<AdmissionTicket, Arc<Notify>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of a call in the queue; given up when dropped, as when its caller leaves.
struct Place<'a> {
    cx: &'a GatewayContext,
    service: &'a str,
    ticket: AdmissionTicket,
    task: Arc<Notify>,
}

impl<'a> Place<'a> {
    fn new(cx: &'a GatewayContext, service: &'a str, ticket: AdmissionTicket) -> Self {
        let task = Arc::new(Notify::new());
        cx.waiting_calls.lock().insert(ticket, Arc::clone(&task));
        cx.waiting_calls.wake();
        Self {
            cx,
            service,
            ticket,
            task,
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.cx.waiting_calls.lock().remove(&self.ticket);
        if let Some(admission) = &mut self.cx.lock().admission {
            admission.release(self.service, self.ticket);
        }
    }
}

/// Chooses the server of a call. With admission control, waits until a server is
/// predicted to have room.
///
/// # Errors
///
/// The call must not be sent, no server accepts it, or it cannot start in time.
pub async fn wait_for_server(
    cx: &GatewayContext,
    call: &Call,
    progress: &mut CallProgress,
) -> Result<BackendChoice, CallRefusal> {
    if !cx.settings.has_admission() {
        return choose_server(cx, call, progress, &[]);
    }
    let began_at = cx.now();
    progress.offered_at.get_or_insert(began_at);
    let mut place: Option<Place<'_>> = None;
    loop {
        let ticket = place.as_ref().map(|place| place.ticket);
        match decide(cx, call, progress, ticket)? {
            AdmissionDecision::Start { estimate, avoid } => {
                if place.is_some() {
                    log_start(cx, call, began_at, &estimate);
                }
                let choice = choose_server(cx, call, progress, &avoid);
                drop(place);
                return choice;
            }
            AdmissionDecision::Wait(ticket) => {
                let place = place.get_or_insert_with(|| Place::new(cx, &call.service, ticket));
                place.task.notified().await;
            }
            AdmissionDecision::Refuse(refusal) => {
                log_refusal(cx, call, began_at, refusal);
                return Err(match refusal.reason {
                    RefusalReason::Stopping => CallRefusal::Stopping(refusal.after),
                    _ => CallRefusal::NotAdmitted(refusal.after),
                });
            }
        }
    }
}

/// Records when a call was `predicted` to begin, or its whole response to arrive, and
/// that this has happened now.
pub fn observe_start(
    cx: &GatewayContext,
    call: &Call,
    predicted: Duration,
    sent_at: MonotonicTime,
) {
    let now = cx.now();
    if let Some(admission) = &mut cx.lock().admission {
        admission.observe_start(&call.service, predicted, now.since(sent_at), now);
    }
}

/// Lets the tasks of the first waiting calls ask again whether they may be sent: when a
/// call ends, and at intervals. Refuses those that cannot start in time any more.
pub async fn look_at_waiting_calls(cx: Arc<GatewayContext>) {
    loop {
        let interval = if cx.waiting_calls.lock().is_empty() {
            IDLE_INTERVAL
        } else {
            LOOK_INTERVAL
        };
        // Ends by the timeout in most rounds.
        let _ = timeout(interval, cx.waiting_calls.look.notified()).await;
        sleep(MIN_LOOK_INTERVAL).await;
        let interval = exchange_interval(&cx);
        let now = cx.now();
        let front: Vec<AdmissionTicket> = {
            let mut state = cx.lock();
            let entry_count = state.quota.count_entries();
            let Some(admission) = &mut state.admission else {
                return;
            };
            admission.expire(entry_count, interval, now);
            let front = admission.list_front(now).into_iter();
            front.map(|(_, ticket)| ticket).collect()
        };
        let tasks = cx.waiting_calls.lock();
        // Tasks run in the order in which they are woken.
        for task in front.iter().filter_map(|ticket| tasks.get(ticket)) {
            task.notify_one();
        }
    }
}

/// Decides on a call that is new, or that waits with `ticket`.
fn decide(
    cx: &GatewayContext,
    call: &Call,
    progress: &CallProgress,
    ticket: Option<AdmissionTicket>,
) -> Result<AdmissionDecision, CallRefusal> {
    let now = cx.now();
    let digest = digest_if_needed(cx, call);
    let mut state = cx.lock();
    let req = DispatchRequest {
        time_left: UNLIMITED_TIME,
        ..call.dispatch_request(progress)
    };
    state
        .check_quarantine(&req, digest, now)
        .map_err(refusal_for_error)?;
    let state = &mut *state;
    let Some(admission) = &mut state.admission else {
        return Err(CallRefusal::NoServer(Duration::ZERO));
    };
    let dispatcher = &state.dispatcher;
    let best = dispatcher.choose(&req, now).map_err(refusal_for_error)?;
    let estimate = |choice: &BackendChoice| {
        let view = dispatcher.find_backend(&choice.name);
        let has_agent = view.is_some_and(|view| view.has_recent_agent_report(now));
        StartEstimate::new(choice, has_agent)
    };
    let best = estimate(&best);
    let mut choose = |avoid: &[BackendKey]| {
        if avoid.is_empty() {
            return Some(best);
        }
        let tried = [&progress.tried, avoid].concat();
        let req = DispatchRequest {
            tried: &tried,
            time_left: UNLIMITED_TIME,
            ..call.dispatch_request(progress)
        };
        let choice = dispatcher.choose(&req, now).ok()?;
        Some(estimate(&choice))
    };
    let servers = dispatcher.list_accepting(&call.service, now);
    let mut candidates = Candidates {
        servers: &servers,
        choose: &mut choose,
    };
    let service = &call.service;
    Ok(match ticket {
        Some(ticket) => admission.look(service, ticket, &mut candidates, now),
        None => {
            let weight = admission.weight_of(call.account.as_ref());
            let offered = describe_call(call, progress, weight, now);
            admission.offer(service, offered, &mut candidates, now)
        }
    })
}

fn describe_call(
    call: &Call,
    progress: &CallProgress,
    weight: u32,
    now: MonotonicTime,
) -> OfferedCall {
    let prompt = call.head.prompt.as_ref();
    let tokens = prompt.map_or(PLAIN_CALL_TOKENS, Prompt::charged_tokens);
    let is_resend = progress.runs > 0 || call.head.resumption.is_some();
    OfferedCall {
        account: call.account.clone(),
        weight,
        priority: call.priority,
        tokens,
        objective: call.route.latency_objective,
        received_at: progress.offered_at.unwrap_or(now),
        deadline: now + call.time_left(),
        identity: identify(call),
        is_resend,
    }
}

/// Returns a hash that is equal for a call and its repeat, whose ids may differ. Computing
/// [`Call::digest`], which is cryptographic, for each call would take far longer.
fn identify(call: &Call) -> u64 {
    let account = call.account.as_ref().map_or("", |account| account.as_str());
    let seed = xxh3_64_with_seed(account.as_bytes(), xxh3_64(call.uri.path().as_bytes()));
    xxh3_64_with_seed(&call.body, seed)
}

fn log_start(cx: &GatewayContext, call: &Call, began_at: MonotonicTime, estimate: &StartEstimate) {
    let waited = cx.now().since(began_at);
    cx.metrics.admission.observe_wait(waited);
    log::info!(
        "admission: started id={} service={} priority={} waited_ms={} wait_ms={} work_ms={} age_ms={}",
        call.id_text(),
        call.service,
        call.priority,
        waited.as_millis(),
        estimate.wait.as_millis(),
        estimate.work.as_millis(),
        estimate.report_age.map_or(-1, |age| age.as_millis() as i64),
    );
}

fn log_refusal(
    cx: &GatewayContext,
    call: &Call,
    began_at: MonotonicTime,
    refusal: AdmissionRefusal,
) {
    let waited = cx.now().since(began_at);
    cx.metrics.admission.observe_wait(waited);
    cx.metrics
        .admission
        .count_refusal(&call.service, refusal.reason);
    log::info!(
        "admission: refused id={} service={} priority={} reason={} waited_ms={} left_ms={} after_ms={}",
        call.id_text(),
        call.service,
        call.priority,
        refusal.reason.code(),
        waited.as_millis(),
        call.time_left().as_millis(),
        refusal.after.as_millis(),
    );
}
