//! Judges the new build of a service and grants calls to it; runs in one entry.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::RolloutOrder;
use super::RolloutPhase;
use super::RolloutPlan;
use super::RolloutRecord;
use super::RolloutReport;
use super::RouteReport;
use super::ServiceServers;
use super::evidence_window::EvidenceWindow;
use crate::core::MonotonicTime;
use crate::core::fleet::Build;

/// Share of the requests that the new build gets at first. With a bound of a tenth of
/// them, most of it is left for the phase in which all calls go there.
const CANARY_SHARE: f64 = 0.012;

/// Responses of each route that the small share is to bring over the whole duration at
/// low rates, where [`CANARY_SHARE`] is too little. They come steadily, so that a fault
/// that shows late is found.
const CANARY_RESPONSES: f64 = 20.0;

/// Least and largest part of the bound that the small share may take, and the part of
/// the duration for which the rest is to cover all requests.
const MIN_CANARY_PART: f64 = 0.25;
const MAX_CANARY_PART: f64 = 0.65;
const MIN_WHOLE_PART: f64 = 0.12;

/// Shares of the steps, and the part of the duration that each one lasts.
const FIRST_STEP_SHARE: f64 = 0.05;
const SECOND_STEP_SHARE: f64 = 0.12;
const STEP_PART: f64 = 0.05;

/// Largest part of the duration for which all calls go to the new build before the
/// deadline. A fault that shows late is found before.
const MAX_WHOLE_PART: f64 = 0.25;

/// Part of the bound, and calls besides, that are never planned: sends between two
/// reports.
const RESERVED_PART: f64 = 0.03;
const RESERVED_CALLS: f64 = 3.0;

/// Allowance for requests that come faster than in the last seconds.
const RATE_MARGIN: f64 = 1.1;

/// Requests of a route since the order from which it counts as one with traffic.
const MIN_ROUTE_REQUESTS: u64 = 4;

/// One of so many requests of a route has to be answered by the new build before an
/// increase, and the most such responses before each one.
const REQUESTS_PER_RESPONSE: u64 = 20;
const FIRST_STEP_RESPONSES: u64 = 6;
const SECOND_STEP_RESPONSES: u64 = 7;
const WHOLE_RESPONSES: u64 = 8;

/// Time of unused grants that an entry holds: above the interval of reports.
const HEADROOM: Duration = Duration::from_millis(400);

/// Time since its last request for which an entry holds unused grants.
const BUSY_TIME: Duration = Duration::from_secs(3);

/// Time after which a new leader decides although entries have not reported: the store
/// may have been restored from a copy that lacks what they know.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Time of grants by which the bound in the state record is raised ahead.
const BOUND_AHEAD: Duration = Duration::from_millis(1_500);

/// Smallest raise of that bound, in calls.
const MIN_RAISE: u64 = 6;

/// Age from which the report of an entry says nothing about its running calls.
const MAX_REPORT_AGE: Duration = Duration::from_millis(800);

/// Shortest phase whole: the new servers show that they carry the full load.
const MIN_WHOLE_TIME: Duration = Duration::from_millis(300);

/// Responses of the new build in the phase whole after which it may end, and the part of
/// the duration (at least the time) before the deadline from which it may end with fewer.
const WHOLE_PHASE_RESPONSES: u64 = 40;
const COMPLETION_PART: f64 = 0.06;
const MIN_COMPLETION_TIME: Duration = Duration::from_millis(600);

/// Time without any new server that accepts calls after which the phase whole ends.
const NO_SERVER_TIME: Duration = Duration::from_secs(1);

/// Routes that a plan names as lacking responses.
const MAX_WANTED_ROUTES: usize = 32;

/// Bounds on the calls that a build may get before its rollout has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// Share of the requests of the service.
    pub share: f64,
    /// Calls in addition.
    pub slack: f64,
}

/// Leader of the rollout of one service.
#[derive(Debug)]
pub struct RolloutLeader {
    bounds: RolloutBounds,
    order: RolloutOrder,
    fence: u64,
    started_at: MonotonicTime,
    /// Whether the entries have had time to tell what an earlier leader announced.
    is_settled: bool,
    /// Time since the order at `known_age_at`.
    known_age: Duration,
    known_age_at: MonotonicTime,
    record: RolloutRecord,
    stored: Option<RolloutRecord>,
    /// End of the rollout in the status in the store, or that it runs; `None` if the
    /// status is not that of this rollout.
    written_status: Option<Option<RolloutPhase>>,
    /// Calls granted by earlier leaders to entries that have not reported to this one.
    inherited: u64,
    entries: HashMap<(String, u64), EntryState>,
    evidence: EvidenceWindow,
    /// Calls charged and requests when the present step began.
    step_start: (u64, u64),
    whole_since: Option<MonotonicTime>,
    closing_since: Option<MonotonicTime>,
    /// Whether an earlier leader has announced the end of the rollout.
    is_end_adopted: bool,
    had_server_at: MonotonicTime,
    reason: String,
}

#[derive(Debug, Default)]
struct EntryState {
    report: RolloutReport,
    heard_at: MonotonicTime,
    /// Highest allowance that the entry may hold.
    granted: u64,
    /// When a report had more requests than the one before.
    requests_at: Option<MonotonicTime>,
}

impl EntryState {
    fn charged(&self) -> u64 {
        self.granted.max(self.report.sent)
    }
}

impl RolloutLeader {
    /// Creates the leader of an order with a fencing token. `record` is the state that
    /// it goes on from, `is_stored` tells whether it is in the store. `age` is the time
    /// since the order.
    pub fn new(
        order: RolloutOrder,
        record: RolloutRecord,
        is_stored: bool,
        fence: u64,
        age: Duration,
        bounds: RolloutBounds,
        now: MonotonicTime,
    ) -> Self {
        let mut leader = Self {
            bounds,
            order,
            fence,
            started_at: now,
            is_settled: false,
            known_age: age,
            known_age_at: now,
            inherited: record.granted_bound,
            written_status: is_stored.then(|| end_of(&record)),
            stored: is_stored.then(|| record.clone()),
            record,
            entries: HashMap::new(),
            evidence: EvidenceWindow::default(),
            step_start: (0, 0),
            whole_since: None,
            closing_since: None,
            is_end_adopted: false,
            had_server_at: now,
            reason: String::new(),
        };
        leader.step_start = (leader.charged(), leader.requests());
        if leader.record.phase.is_whole() {
            leader.whole_since = Some(now);
            leader.evidence.start_whole(now);
        }
        leader
    }

    /// Records that the store holds the status of this target, since the order extends
    /// one that runs.
    pub fn keep_status(&mut self) {
        self.written_status = Some(None);
    }

    /// Returns the fencing token.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Takes a later write of the order, which says the same.
    pub fn renew(&mut self, order: RolloutOrder, fence: u64) {
        self.order = order;
        self.fence = fence;
    }

    /// Returns why the last phase was entered.
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// Returns the phase that entries are told. A phase in which more calls go to the
    /// new build is told once it is stored, the end of all calls to it at once.
    pub fn phase(&self) -> RolloutPhase {
        if self.record.phase == RolloutPhase::RolledBack {
            return RolloutPhase::RolledBack;
        }
        let stored = self.stored.as_ref().map(|record| record.phase);
        match stored {
            Some(RolloutPhase::Whole) if self.closing_since.is_some() => RolloutPhase::Closing,
            Some(phase) => phase,
            None => RolloutPhase::Canary,
        }
    }

    /// Returns the time since the order.
    pub fn age(&self, now: MonotonicTime) -> Duration {
        self.known_age + now.since(self.known_age_at)
    }

    /// Returns the record that has to be written, and whether the status changes with
    /// it.
    pub fn pending_write(&self) -> Option<(RolloutRecord, bool)> {
        let stored = self.stored.as_ref();
        if stored == Some(&self.record) {
            return None;
        }
        let has_new_status = self.written_status != Some(end_of(&self.record));
        Some((self.record.clone(), has_new_status))
    }

    /// Records that a record was written.
    pub fn confirm_write(&mut self, record: RolloutRecord, now: MonotonicTime) {
        let was_whole = self.stored.as_ref().is_some_and(|r| r.phase.is_whole());
        if record.phase.is_whole() && !was_whole {
            self.whole_since = Some(now);
            self.evidence.start_whole(now);
        }
        self.written_status = Some(end_of(&record));
        self.stored = Some(record);
    }

    /// Replaces what is known of the stored record, after a write whose outcome is not
    /// known.
    pub fn correct_stored(&mut self, stored: Option<RolloutRecord>, now: MonotonicTime) {
        if let Some(record) = &stored {
            self.record.granted_bound = self.record.granted_bound.max(record.granted_bound);
            if record.phase.is_final() && !self.record.phase.is_final() {
                self.record.phase = record.phase;
                self.reason = "found in the record".into();
            }
        }
        match stored {
            Some(record) => self.confirm_write(record, now),
            None => {
                self.stored = None;
                self.written_status = None;
            }
        }
    }

    /// Takes the report of an entry and returns its plan; `None` for a report of another
    /// order, and for one that a later one has overtaken.
    pub fn observe_report(
        &mut self,
        report: RolloutReport,
        now: MonotonicTime,
    ) -> Option<RolloutPlan> {
        if report.revision != self.order.revision {
            return None;
        }
        let key = (report.entry.clone(), report.incarnation);
        let held = report.allowance.max(report.sent);
        let requests = report.requests();
        if let Some(entry) = self.entries.get(&key) {
            if report.number <= entry.report.number {
                return None;
            }
        } else {
            // An earlier leader has granted it.
            self.inherited = self.inherited.saturating_sub(held);
        }
        let entry = self.entries.entry(key.clone()).or_default();
        if entry.requests_at.is_none() || requests > entry.report.requests() {
            entry.requests_at = Some(now);
        }
        entry.granted = held;
        entry.heard_at = now;
        let order_age = Duration::from_millis(report.order_age_ms);
        let phase = report.phase;
        entry.report = report;
        if order_age > self.age(now) {
            self.known_age = order_age;
            self.known_age_at = now;
        }
        self.adopt_phase(phase);
        let allowance = self.grant(&key, now);
        let wanted = self.routes_lacking(self.needed_responses());
        let wanted = wanted.into_iter().take(MAX_WANTED_ROUTES);
        Some(RolloutPlan {
            revision: self.order.revision,
            fence: self.fence,
            phase: self.phase(),
            allowance,
            wanted_routes: wanted.map(|route| route.route.clone()).collect(),
        })
    }

    /// Adopts a phase that an earlier leader had announced: after the end of a rollout
    /// nothing else may follow, and what all calls were allowed is not taken back.
    fn adopt_phase(&mut self, phase: RolloutPhase) {
        if self.record.phase.is_final() {
            return;
        }
        if phase.is_final() || phase.stored() > self.record.phase.stored() {
            self.is_end_adopted = phase.is_final();
            self.record.phase = phase.stored();
            self.reason = "told by an entry".into();
        }
    }

    /// Grants calls to an entry, as far as the bound and the record allow, and returns
    /// its allowance. Unused calls beyond what it needs are taken back: the allowance
    /// falls, which counts once the entry reports it.
    fn grant(&mut self, key: &(String, u64), now: MonotonicTime) -> u64 {
        let room = self.room_to_grant(now);
        let calls_per_s = self.grant_rate(now);
        let total = self.requests().max(1);
        let is_open = !self.phase().is_whole() && !self.phase().is_final();
        let is_ample = room > self.entries.len() as u64;
        let Some(entry) = self.entries.get_mut(key) else {
            return 0;
        };
        let is_busy = entry
            .requests_at
            .is_some_and(|at| now.since(at) < BUSY_TIME);
        let share = entry.report.requests() as f64 / total as f64;
        let headroom = if is_open && (is_busy || is_ample) {
            (calls_per_s * share * HEADROOM.as_secs_f64()).ceil() as u64 + 1
        } else {
            0
        };
        let wanted = entry.report.sent + headroom;
        let allowance = wanted.min(entry.granted + room);
        entry.granted = entry.granted.max(allowance);
        allowance
    }

    /// Returns the calls that may be granted now.
    fn room_to_grant(&self, now: MonotonicTime) -> u64 {
        let stored_bound = self.stored.as_ref().map_or(0, |r| r.granted_bound);
        let planned = self.planned_exposure(now) as u64;
        planned.min(stored_bound).saturating_sub(self.charged())
    }

    /// Returns the calls a second that are granted at present.
    fn grant_rate(&self, now: MonotonicTime) -> f64 {
        let duration = self.order_duration().as_secs_f64().max(0.1);
        let rate = self.request_rate(now);
        match self.record.phase {
            RolloutPhase::FirstStep => FIRST_STEP_SHARE * rate,
            RolloutPhase::SecondStep => SECOND_STEP_SHARE * rate,
            _ => (CANARY_SHARE * rate).max(self.route_count() * CANARY_RESPONSES / duration),
        }
    }

    /// Returns the calls to the new build that are planned until now.
    fn planned_exposure(&self, now: MonotonicTime) -> f64 {
        let requests = self.requests() as f64;
        let limit = self.limit(requests);
        let step = |share: f64| {
            let (charged, before) = self.step_start;
            let after = charged as f64 + share * (requests - before as f64).max(0.0);
            (after + self.route_count()).min(limit * (1.0 - RESERVED_PART))
        };
        match self.record.phase {
            RolloutPhase::FirstStep => step(FIRST_STEP_SHARE),
            RolloutPhase::SecondStep => step(SECOND_STEP_SHARE),
            _ => {
                let duration = self.order_duration().as_secs_f64().max(0.1);
                let progress = self.age(now).as_secs_f64() / duration;
                let floor = self.route_count() * (1.0 + CANARY_RESPONSES * progress);
                (CANARY_SHARE * requests)
                    .max(floor)
                    .min(limit * self.canary_part(now))
            }
        }
    }

    /// Returns the part of the bound that the small share may take: at low rates, all
    /// requests of the last seconds fit into a part of it.
    fn canary_part(&self, now: MonotonicTime) -> f64 {
        let rate = self.request_rate(now);
        let expected = self.requests() as f64 + rate * self.time_left(now).as_secs_f64();
        let whole = rate * MIN_WHOLE_PART * self.order_duration().as_secs_f64();
        let part = 1.0 - whole / self.limit(expected).max(1.0);
        part.clamp(MIN_CANARY_PART, MAX_CANARY_PART)
    }

    /// Returns the calls that the new build may get if `requests` reach the service.
    fn limit(&self, requests: f64) -> f64 {
        self.bounds.share * requests + self.bounds.slack
    }

    /// Returns the calls that may have been sent to the new build, or still be.
    pub fn charged(&self) -> u64 {
        let granted: u64 = self.entries.values().map(EntryState::charged).sum();
        self.inherited + granted
    }

    /// Returns the requests that are known to have reached the service.
    pub fn requests(&self) -> u64 {
        let reported: u64 = self.entries.values().map(|e| e.report.requests()).sum();
        reported.max(self.record.requests)
    }

    fn request_rate(&self, now: MonotonicTime) -> f64 {
        let mean = self.requests() as f64 / self.age(now).as_secs_f64().max(0.5);
        mean.max(self.evidence.peak_rate())
    }

    fn route_count(&self) -> f64 {
        let routes = self.evidence.routes().filter(|route| route.requests > 0);
        (routes.count() as f64).max(1.0)
    }

    fn order_duration(&self) -> Duration {
        self.order.duration.unwrap_or_default()
    }

    fn time_left(&self, now: MonotonicTime) -> Duration {
        self.order_duration().saturating_sub(self.age(now))
    }

    fn needed_responses(&self) -> u64 {
        match self.record.phase {
            RolloutPhase::Canary => FIRST_STEP_RESPONSES,
            RolloutPhase::FirstStep => SECOND_STEP_RESPONSES,
            _ => WHOLE_RESPONSES,
        }
    }

    /// Returns the routes with traffic from which the new build lacks good responses,
    /// of which at most `needed` are needed.
    fn routes_lacking(&self, needed: u64) -> Vec<&RouteReport> {
        // Half of what each route gets if all get alike; the bound may allow no more.
        let fair_part = self.charged() / (2 * self.route_count() as u64);
        let lacks = |route: &&RouteReport| {
            let has_traffic = route.requests >= MIN_ROUTE_REQUESTS
                && self.evidence.recent_requests(&route.route) > 0;
            let needed = (route.requests / REQUESTS_PER_RESPONSE)
                .min(fair_part)
                .clamp(1, needed);
            let good = route.new.responses().saturating_sub(route.new.failed);
            has_traffic && good < needed
        };
        self.evidence.routes().filter(lacks).collect()
    }

    /// Returns the time before the deadline from which the bound covers all requests if
    /// all go to the new build, after the steps.
    fn whole_time(&self, now: MonotonicTime) -> Duration {
        let rate = (self.request_rate(now) * RATE_MARGIN).max(0.1);
        let time_left = self.time_left(now).as_secs_f64();
        let duration = self.order_duration().as_secs_f64();
        let expected = self.requests() as f64 + self.request_rate(now) * time_left;
        let steps_left = match self.record.phase {
            RolloutPhase::Canary => FIRST_STEP_SHARE + SECOND_STEP_SHARE,
            RolloutPhase::FirstStep => SECOND_STEP_SHARE,
            _ => 0.0,
        };
        let room = self.limit(expected) * (1.0 - RESERVED_PART)
            - RESERVED_CALLS
            - self.charged() as f64
            - steps_left * STEP_PART * duration * rate;
        let seconds = (room / rate).clamp(0.0, duration * MAX_WHOLE_PART);
        Duration::from_secs_f64(seconds)
    }

    /// Decides what follows from what was reported and from the servers of the service.
    /// `entries` names the entries that are known at present. Returns the phase that
    /// was entered, if one was.
    pub fn advance(
        &mut self,
        servers: ServiceServers,
        entries: &[String],
        now: MonotonicTime,
    ) -> Option<RolloutPhase> {
        let before = self.record.phase;
        self.update_evidence(now);
        if servers.new_accepting > 0 {
            self.had_server_at = now;
        }
        if !self.is_settled {
            let is_heard = |name: &String| self.is_heard(name, now);
            self.is_settled =
                entries.iter().all(is_heard) || now.since(self.started_at) >= SETTLE_TIME;
        }
        if self.is_settled && !before.is_final() {
            self.record.requests = self.record.requests.max(self.requests());
            match self.find_problem(before, now) {
                Some(reason) => self.enter(RolloutPhase::RolledBack, reason),
                None => self.advance_phase(servers, entries, now),
            }
            self.raise_bound(now);
        }
        self.recheck_completion(servers, entries, now);
        self.keep_stored_requests();
        (self.record.phase != before).then_some(self.record.phase)
    }

    fn enter(&mut self, phase: RolloutPhase, reason: String) {
        self.step_start = (self.charged(), self.requests());
        self.record.phase = phase;
        self.reason = reason;
    }

    fn find_problem(&self, phase: RolloutPhase, now: MonotonicTime) -> Option<String> {
        if let Some(fault) = self.evidence.find_fault() {
            return Some(fault);
        }
        let is_stored_whole = self.stored.as_ref().is_some_and(|r| r.phase.is_whole());
        if self.time_left(now).is_zero() && !is_stored_whole {
            return Some(format!("deadline in phase {phase:?}"));
        }
        let is_without_servers = now.since(self.had_server_at) >= NO_SERVER_TIME;
        (is_stored_whole && is_without_servers).then(|| "no new server accepts calls".into())
    }

    fn advance_phase(&mut self, servers: ServiceServers, entries: &[String], now: MonotonicTime) {
        let is_announced = self.phase().stored() == self.record.phase;
        if !is_announced {
            return;
        }
        if self.record.phase.is_whole() {
            self.complete_if_done(servers, entries, now);
            return;
        }
        let has_servers =
            servers.new_accepting > 0 && servers.new_accepting * 2 >= servers.old_listed;
        if servers.old_listed == 0 && servers.new_accepting > 0 {
            self.enter(RolloutPhase::Whole, "no old server is listed".into());
            return;
        }
        if !has_servers
            || self.evidence.is_suspect()
            || !self.routes_lacking(self.needed_responses()).is_empty()
        {
            return;
        }
        let time_left = self.time_left(now);
        let until_whole = time_left.saturating_sub(self.whole_time(now));
        let step = self.order_duration().mul_f64(STEP_PART);
        let next = match self.record.phase {
            RolloutPhase::Canary if until_whole <= step * 2 => RolloutPhase::FirstStep,
            RolloutPhase::FirstStep if until_whole <= step => RolloutPhase::SecondStep,
            RolloutPhase::SecondStep if until_whole.is_zero() => RolloutPhase::Whole,
            _ => return,
        };
        let reason = format!("left_ms={}", time_left.as_millis());
        self.enter(next, reason);
    }

    /// Closes the old build once nothing runs there, and completes the rollout once all
    /// entries and the old servers have confirmed that.
    fn complete_if_done(
        &mut self,
        servers: ServiceServers,
        entries: &[String],
        now: MonotonicTime,
    ) {
        let Some(whole_since) = self.whole_since else {
            return;
        };
        let closing = self.closing_since.is_some();
        let is_idle = self.are_entries_idle(entries, now);
        let completion_time = self.order_duration().mul_f64(COMPLETION_PART);
        let is_tried = self.evidence.whole_responses() >= WHOLE_PHASE_RESPONSES
            || self.time_left(now) <= completion_time.max(MIN_COMPLETION_TIME);
        if !is_idle || !is_tried {
            return;
        }
        if !closing {
            self.closing_since = Some(now);
        } else if servers.old_running == Some(0)
            && servers.new_accepting > 0
            && now.since(whole_since) >= MIN_WHOLE_TIME
            && !self.evidence.is_doubtful()
        {
            self.enter(RolloutPhase::Completed, "old servers are empty".into());
        }
    }

    /// Returns whether all entries act in the announced phase and run no calls at the old
    /// servers.
    fn are_entries_idle(&self, entries: &[String], now: MonotonicTime) -> bool {
        let phase = self.phase();
        entries.iter().all(|name| {
            let mut runs = self.entries.iter().filter(|((entry, _), _)| entry == name);
            // An earlier run of an entry has ended with its calls.
            runs.any(|(_, state)| {
                now.since(state.heard_at) < MAX_REPORT_AGE
                    && state.report.phase == phase
                    && state.report.old_running == 0
            })
        })
    }

    /// Takes the end of a rollout back as long as it is not stored, if an entry has
    /// started meanwhile that may send calls to the old servers.
    fn recheck_completion(
        &mut self,
        servers: ServiceServers,
        entries: &[String],
        now: MonotonicTime,
    ) {
        let is_pending = self.record.phase == RolloutPhase::Completed
            && self.is_closing()
            && !self.is_end_adopted;
        let holds = self.are_entries_idle(entries, now) && servers.old_running == Some(0);
        if is_pending && !holds {
            self.record.phase = RolloutPhase::Whole;
            self.reason = "old servers may run calls again".into();
        }
    }

    /// Returns whether an entry has reported recently.
    pub fn is_heard(&self, name: &str, now: MonotonicTime) -> bool {
        let mut runs = self.entries.iter().filter(|((entry, _), _)| entry == name);
        runs.any(|(_, state)| now.since(state.heard_at) < MAX_REPORT_AGE)
    }

    /// Returns the number of entries other than `own` that have reported recently.
    pub fn count_heard(&self, own: &str, now: MonotonicTime) -> usize {
        let others = self.entries.iter().filter(|((entry, _), _)| entry != own);
        others
            .filter(|(_, state)| now.since(state.heard_at) < MAX_REPORT_AGE)
            .count()
    }

    /// Returns whether the old servers have to be asked for their load.
    pub fn is_closing(&self) -> bool {
        let stored = self.stored.as_ref().map(|record| record.phase);
        self.closing_since.is_some()
            && stored == Some(RolloutPhase::Whole)
            && self.record.phase != RolloutPhase::RolledBack
    }

    /// Raises the bound in the record ahead of the grants.
    fn raise_bound(&mut self, now: MonotonicTime) {
        if self.record.phase.is_whole() || self.record.phase.is_final() {
            return;
        }
        let ahead = (self.grant_rate(now) * BOUND_AHEAD.as_secs_f64()) as u64;
        let raise = ahead.max(MIN_RAISE);
        let planned = self.planned_exposure(now) as u64;
        let needed = planned.max(self.charged());
        if needed + raise / 2 > self.record.granted_bound {
            let limit = self.limit(self.requests() as f64) as u64;
            let bound = (needed + raise).min(limit);
            self.record.granted_bound = self.record.granted_bound.max(bound);
        }
    }

    /// Keeps the number of requests from causing writes by itself.
    fn keep_stored_requests(&mut self) {
        let Some(stored) = &self.stored else { return };
        let is_changed =
            self.record.phase != stored.phase || self.record.granted_bound != stored.granted_bound;
        if !is_changed {
            self.record.requests = stored.requests;
        }
    }

    fn update_evidence(&mut self, now: MonotonicTime) {
        let mut total: BTreeMap<String, RouteReport> = BTreeMap::new();
        for route in self.entries.values().flat_map(|e| &e.report.routes) {
            let sum = total
                .entry(route.route.clone())
                .or_insert_with(|| RouteReport {
                    route: route.route.clone(),
                    ..RouteReport::default()
                });
            sum.requests += route.requests;
            sum.old.add(&route.old);
            sum.new.add(&route.new);
        }
        self.evidence.update(total, now);
    }

    /// Returns the targets of earlier orders whose servers get nothing.
    pub fn given_up(&self) -> &[Build] {
        &self.record.given_up
    }
}

/// Returns the phase of a rollout that has ended.
fn end_of(record: &RolloutRecord) -> Option<RolloutPhase> {
    record.phase.is_final().then_some(record.phase)
}
