//! Feeds what responses show of the speed of servers into the dispatcher, and exchanges
//! it with other entries.

use std::collections::HashMap;
use std::time::Duration;

use super::BackendChoice;
use super::BackendKey;
use super::BackendView;
use super::Dispatcher;
use super::call_costs;
use super::server_pace::ServerPace;
use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::fleet::server_speed::ServiceSpeed;
use crate::core::fleet::server_speed::SpeedUpdate;
use crate::core::fleet::server_speed::WorkKind;

/// Maximum of queueing and transfer time, as a share of the prefill time or of the whole
/// time of a plain call, in a call from which speed is learned.
const MAX_OTHER_SHARE: f64 = 0.2;

/// Minimum predicted prefill time of such a call; in shorter ones, the network and the
/// first decoding step dominate.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(20);

/// Time to first token that is not prefill: the network and one decoding step.
const TTFT_OVERHEAD: Duration = Duration::from_millis(8);

/// Minimum number of events from which the speed of decoding is learned.
const MIN_EVENTS: u32 = 8;

/// Time without a report of an agent, and without an answer of its engine, after which
/// the engine counts as silent if other agents report. They do so at least twice a
/// second.
const AGENT_SILENCE: Duration = Duration::from_millis(900);

/// Time from which a silent agent says nothing of its engine any more.
const AGENT_GONE: Duration = Duration::from_secs(6);

/// Unsent observations from which a server's speed is worth sending.
const MIN_UNSENT: f64 = 4.0;

impl BackendChoice {
    /// Returns whether the call was predicted to begin almost at once, so that its time
    /// shows the speed of the server.
    pub fn waits_little(&self) -> bool {
        let wait = self.predicted_ttft.saturating_sub(self.prefill_time);
        wait <= self.predicted_end.mul_f64(MAX_OTHER_SHARE)
    }
}

/// Change of what is known of a server's speed, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum SpeedChange {
    /// The server's speed differs clearly from its service, by a factor of the time, or
    /// no longer does.
    Uneven(ServerName, Option<f64>),
    /// The server is silent, or no longer is.
    Silent(ServerName, bool),
}

impl Dispatcher {
    /// Records the time to first token of a call that found its engine idle.
    pub fn observe_ttft(&mut self, choice: &BackendChoice, ttft: Duration, now: MonotonicTime) {
        self.record_start(choice, now);
        let other = choice.predicted_ttft.saturating_sub(choice.prefill_time);
        if choice.prefill_time < MIN_PREFILL_TIME
            || other > choice.prefill_time.mul_f64(MAX_OTHER_SHARE)
        {
            return;
        }
        let measured = ttft.saturating_sub(other + TTFT_OVERHEAD);
        let expected = choice.prefill_time.div_f64(choice.prefill_factor.max(0.01));
        self.observe_work(choice, WorkKind::Prefill, measured, expected, now);
    }

    /// Records that a stream's `events` after the first one took `elapsed`.
    pub fn observe_decoding(
        &mut self,
        choice: &BackendChoice,
        events: u32,
        elapsed: Duration,
        now: MonotonicTime,
    ) {
        if events < MIN_EVENTS {
            return;
        }
        let expected_ms = f64::from(events) * call_costs::usual_ms_per_token();
        let expected = Duration::from_secs_f64(expected_ms / 1_000.0);
        self.observe_work(choice, WorkKind::Decode, elapsed, expected, now);
    }

    /// Records the response time of a call without a prompt on a route.
    pub fn observe_plain_response(
        &mut self,
        choice: &BackendChoice,
        route: &str,
        elapsed: Duration,
        now: MonotonicTime,
    ) {
        self.record_start(choice, now);
        let Some(service) = self.find_service_speed(choice.key) else {
            return;
        };
        service.observe_response(route, elapsed);

        let expected = service.median_response_time(route);
        if let Some(expected) = expected.filter(|_| choice.waits_little()) {
            self.observe_work(choice, WorkKind::Plain, elapsed, expected, now);
        }
    }

    /// Records that a call without a prompt would have taken longer than `elapsed`, when
    /// another server answered it.
    pub fn observe_overtaken(
        &mut self,
        choice: &BackendChoice,
        route: &str,
        elapsed: Duration,
        now: MonotonicTime,
    ) {
        let Some(service) = self.find_service_speed(choice.key) else {
            return;
        };
        service.observe_response(route, elapsed);
        if let Some(expected) = service.median_response_time(route) {
            self.observe_work(choice, WorkKind::Plain, elapsed, expected, now);
        }
    }

    /// Records the time of a complete response of an engine that is no stream.
    pub fn observe_whole_response(
        &mut self,
        choice: &BackendChoice,
        route: &str,
        elapsed: Duration,
        now: MonotonicTime,
    ) {
        self.record_start(choice, now);
        let expected = choice.predicted_end.saturating_sub(choice.predicted_ttft);
        let measured = elapsed.saturating_sub(choice.predicted_ttft);
        let is_wait_short = choice.waits_little();
        let Some(view) = self.backends.get(choice.key).filter(|_| is_wait_short) else {
            return;
        };
        // What the prediction says of a route's output is often wrong, for all servers alike.
        let expected = expected.div_f64(self.pace_of(view, now).output_factor());
        if measured.is_zero() || expected.is_zero() {
            return;
        }
        let log = (measured.as_secs_f64() / expected.as_secs_f64()).ln();
        let bias = self
            .find_service_speed(choice.key)
            .and_then(|service| service.observe_route_bias(route, log));
        if let Some(bias) = bias {
            let expected = expected.mul_f64(bias);
            self.observe_work(choice, WorkKind::Decode, measured, expected, now);
        }
    }

    /// Records that a call held its slot for `held`, waiting time not included.
    pub fn observe_hold(&mut self, choice: &BackendChoice, held: Duration, now: MonotonicTime) {
        let Some(view) = self.backends.get(choice.key) else {
            return;
        };
        let kind = if choice.salt.is_some() {
            WorkKind::Decode
        } else {
            WorkKind::Plain
        };
        let held = held.div_f64(self.pace_of(view, now).factor(kind).value);
        if let Some(service) = self.find_service_speed(choice.key) {
            service.observe_hold(held);
        }
    }

    /// Records how long a server took for the head of a response.
    pub fn observe_first_answer(&mut self, key: BackendKey, elapsed: Duration) {
        if let Some(service) = self.find_service_speed(key) {
            service.observe_first_answer(elapsed);
        }
    }

    /// Returns the time after which a response on a route is later than most; `None` if
    /// too few have been seen.
    pub fn high_response_time(&self, service: &str, route: &str) -> Option<Duration> {
        self.service_speeds.get(service)?.high_response_time(route)
    }

    /// Returns whether a server other than `tried` has a free slot.
    pub fn has_free_slot(&self, service: &str, tried: &[BackendKey], now: MonotonicTime) -> bool {
        let keys = self.keys_by_service.get(service);
        keys.into_iter().flatten().any(|key| {
            !tried.contains(key)
                && self.backends.get(*key).is_some_and(|view| {
                    let calls = self.pace_of(view, now).estimate_calls(view, now);
                    view.accepts_calls(now) && calls + 1.0 <= f64::from(view.member.slots)
                })
        })
    }

    /// Returns the latest window of measurements for other entries while it is younger
    /// than `send_time`, and closes it after `length`; `max_notices` bounds the message.
    pub fn build_speed_update(
        &mut self,
        length: Duration,
        send_time: Duration,
        max_notices: usize,
        clock_ms: u64,
        now: MonotonicTime,
    ) -> Option<SpeedUpdate> {
        if self.speed_evidence.is_window_over(length, now) {
            let mut worth: Vec<(f64, BackendKey)> = self
                .backends
                .iter()
                .filter(|(_, view)| self.pace_of(view, now).is_active)
                .map(|(key, view)| (view.speed.count_unsent(), key))
                .filter(|(unsent, _)| *unsent >= MIN_UNSENT)
                .collect();
            worth.sort_by(|a, b| b.0.total_cmp(&a.0));
            let mut notices = Vec::new();
            for (_, key) in worth {
                if notices.len() >= max_notices {
                    break;
                }
                if let Some(view) = self.backends.get_mut(key) {
                    let run = view.run();
                    notices.extend(view.speed.take_notices(run));
                }
            }
            self.speed_evidence.close_window(notices, clock_ms, now);
        }
        self.speed_evidence.latest(send_time, now)
    }

    /// Adds what another entry has measured; a window that is repeated has no effect.
    pub fn apply_speed_update(&mut self, sender: &str, update: &SpeedUpdate, now: MonotonicTime) {
        if !self
            .speed_evidence
            .accept_window(sender, update.window, now)
        {
            return;
        }
        for view in self.backends.values_mut() {
            let run = view.run();
            for notice in update.notices.iter().filter(|notice| notice.run == run) {
                let service = find_or_insert(&mut self.service_speeds, &view.member.service);
                view.speed.apply_notice(notice, service);
            }
        }
    }

    /// Keeps services active whose servers differ, and returns what has changed; to be
    /// called at regular intervals.
    pub fn refresh_speeds(&mut self, now: MonotonicTime) -> Vec<SpeedChange> {
        let mut changes = Vec::new();
        let keys: Vec<BackendKey> = self.backends.keys().collect();
        for key in keys {
            let Some(view) = self.backends.get(key) else {
                continue;
            };
            let Some(service) = self.service_speeds.get(&view.member.service) else {
                continue;
            };

            let is_silent = self.is_silent(view, Some(service), now);
            let Some(view) = self.backends.get_mut(key) else {
                continue;
            };
            view.speed.refresh(service);
            let factor = view.speed.clear_factor();
            let differs = factor.is_some();
            let name = &view.member.name;
            if view.is_logged_uneven != differs {
                changes.push(SpeedChange::Uneven(name.clone(), factor));
            }
            if view.is_logged_silent != is_silent {
                changes.push(SpeedChange::Silent(name.clone(), is_silent));
            }
            view.is_logged_uneven = differs;
            view.is_logged_silent = is_silent;
            if differs {
                find_or_insert(&mut self.service_speeds, &view.member.service).activate(now);
            }
        }
        changes
    }

    /// Returns the cost of a server that is silent.
    pub(super) fn silence_cost_ms(
        &self,
        view: &BackendView,
        service: Option<&ServiceSpeed>,
        now: MonotonicTime,
    ) -> f64 {
        if !self.is_silent(view, service, now) {
            return 0.0;
        }
        let usual = usual_answer_time(view, service, now);
        // A silent agent is heard again by itself.
        if view.answer_gap.owes_answer() && view.answer_gap.is_probe_due(usual, now) {
            0.0
        } else {
            call_costs::SILENT_COST_MS
        }
    }

    /// Makes the service of a server active if the server states its slowness.
    pub(super) fn activate_if_stated(&mut self, key: BackendKey, now: MonotonicTime) {
        let Some(view) = self.backends.get(key) else {
            return;
        };
        if view.speed.states_slowness(now) {
            find_or_insert(&mut self.service_speeds, &view.member.service).activate(now);
        }
    }

    /// Returns the pace of a server.
    pub(super) fn pace_of(&self, view: &BackendView, now: MonotonicTime) -> ServerPace {
        let service = self.service_speeds.get(&view.member.service);
        ServerPace::new(view, service, now)
    }

    fn is_silent(
        &self,
        view: &BackendView,
        service: Option<&ServiceSpeed>,
        now: MonotonicTime,
    ) -> bool {
        let agents_heard_at = service.and_then(ServiceSpeed::agents_heard_at);
        let is_agent_silent = view.agent_silence(now).is_some_and(|silence| {
            let others_heard = agents_heard_at.is_some_and(|at| now.since(at) < silence / 2);
            others_heard && (AGENT_SILENCE..AGENT_GONE).contains(&silence)
        });
        if is_agent_silent || !view.answer_gap.owes_answer() {
            return is_agent_silent;
        }
        let usual = usual_answer_time(view, service, now);
        let answered_at = service.and_then(ServiceSpeed::answered_at);
        view.answer_gap.is_silent(usual, answered_at, now)
    }

    fn record_start(&mut self, choice: &BackendChoice, now: MonotonicTime) {
        if let Some(view) = self.backends.get_mut(choice.key) {
            view.load.record_start(now);
        }
    }

    fn observe_work(
        &mut self,
        choice: &BackendChoice,
        kind: WorkKind,
        measured: Duration,
        expected: Duration,
        now: MonotonicTime,
    ) {
        if let Some(view) = self.backends.get_mut(choice.key)
            && view.run() == choice.run
        {
            let service = find_or_insert(&mut self.service_speeds, &view.member.service);
            view.speed
                .observe_work(kind, measured, expected, service, now);
        }
    }

    /// Returns what is known of the service of a server.
    pub(super) fn find_service_speed(&mut self, key: BackendKey) -> Option<&mut ServiceSpeed> {
        let view = self.backends.get(key)?;
        let service = &view.member.service;
        Some(find_or_insert(&mut self.service_speeds, service))
    }
}

/// Returns the entry of a service. Its name is copied only the first time.
fn find_or_insert<'a>(
    speeds: &'a mut HashMap<String, ServiceSpeed>,
    service: &str,
) -> &'a mut ServiceSpeed {
    if !speeds.contains_key(service) {
        speeds.insert(service.into(), ServiceSpeed::default());
    }
    speeds
        .get_mut(service)
        .unwrap_or_else(|| unreachable!("the entry was inserted above"))
}

/// Returns the time in which a server usually answers, as its service does.
fn usual_answer_time(
    view: &BackendView,
    service: Option<&ServiceSpeed>,
    now: MonotonicTime,
) -> Option<Duration> {
    let usual = service?.usual_first_answer()?;
    let slowness = ServerPace::new(view, service, now).slowest();
    Some(usual.mul_f64(slowness.max(1.0)))
}
