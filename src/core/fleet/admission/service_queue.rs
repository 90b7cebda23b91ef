//! Calls that wait for servers of one service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::AdmissionDecision;
use super::AdmissionRefusal;
use super::AdmissionTicket;
use super::Candidates;
use super::OfferedCall;
use super::PredictionError;
use super::RefusalReason;
use super::StartEstimate;
use super::call_kind_state::CallKindState;
use super::call_kind_state::MAX_WAITING;
use super::demand_shares::DemandShares;
use super::return_schedule::ReturnSchedule;
use crate::core::MonotonicTime;
use crate::core::fair_queue::QueuePosition;
use crate::core::fair_queue::SchedulingParams;
use crate::core::fleet::BackendKey;
use crate::core::fleet::decaying_sum::DecayingSum;

/// Largest wait at a server to which a call is sent, as a part of the smallest objective
/// in the service, and its bounds. It must cover the age of reports, or servers idle.
const DEPTH_SHARE: f64 = 0.25;
const MIN_DEPTH: Duration = Duration::from_millis(20);
const MAX_DEPTH: Duration = Duration::from_millis(400);

/// Part of that wait for less urgent kinds, so that a more urgent call at another entry
/// still finds room.
const LESS_URGENT_DEPTH_SHARE: f64 = 0.5;

/// Part of the started work below which a less urgent kind goes first, if it also gets a
/// smaller part of what it asks for than more urgent ones.
const MIN_KIND_SHARE: f64 = 0.05;

/// Time slots in which an entry uses some of the servers while calls wait: the interval
/// of engines' reports, and the time of a call at a plain server.
const ENGINE_SLOT: Duration = Duration::from_millis(100);
const PLAIN_SLOT: Duration = Duration::from_millis(20);

/// Factor on the part of the slots in which a call may use a server once it has waited
/// for half of its time.
const LONG_WAIT_FACTOR: f64 = 2.0;

/// Number of servers among which a call that does not wait is spread, if there are many
/// entries. All entries see the same old reports, so that the best server of each would
/// be the same one.
const SPREAD_SERVERS: f64 = 3.0;

/// Largest work, relative to that at the best server, at one that is taken to spread
/// calls: prompts stay where they are cached.
const MAX_SPREAD_WORK_RATIO: f64 = 1.1;

/// Time after the best server of a call had no room for which slots are used.
const SLOTS_AFTER_NO_ROOM: Duration = Duration::from_millis(500);

/// Time after it for which the demand is told to other entries.
const DEMAND_AFTER_NO_ROOM: Duration = Duration::from_secs(1);

/// Number of servers that are looked at for one call while it waits.
const MAX_LOOKS: usize = 3;

/// Largest work at another server relative to the best one, which usually has cached
/// more of the prompt. Later, any server will do.
const MAX_WORK_RATIO: f64 = 1.5;

/// Number of waiting calls of one priority that are looked at together.
const CALLS_PER_ROUND: usize = 6;

/// Multiple of the usual age of reports from which an engine probably stands still, and
/// the factor on the excess that its wait is taken to be longer.
const STALE_AGE_RATIO: f64 = 2.0;
const STALE_WAIT_FACTOR: f64 = 4.0;

/// Weight of an observation in the usual age of reports.
const AGE_WEIGHT: f64 = 0.05;

/// Age of a report from which the dispatcher's estimate holds only the own calls.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Age of a report by which the error of a prediction doubles, and its largest factor.
const ERROR_AGE: Duration = Duration::from_millis(500);
const MAX_ERROR_FACTOR: f64 = 4.0;

/// Largest part of the objective that the error of predictions takes. A larger one would
/// refuse all calls, so that no new error were measured.
const MAX_ERROR_SHARE: f64 = 0.25;

/// Time over which the rate of started work is measured.
const START_RATE_TIME: Duration = Duration::from_millis(700);

/// Part of the servers' time that is assumed to be available before starts are measured:
/// some of the servers may be silent.
const ASSUMED_SERVER_SHARE: f64 = 0.5;

/// Order among calls whose accounts are equal: returning callers, then new ones, then
/// resends, each by latest start, which is earlier for long prompts.
const NEW_CALL_ORDER: u64 = 1 << 61;
const RESEND_ORDER: u64 = 1 << 62;

/// Calls that wait for servers of one service.
#[derive(Debug)]
pub(super) struct ServiceQueue {
    own_hash: u64,
    next_ticket: u64,
    kinds: BTreeMap<u8, CallKindState>,
    waiting: BTreeMap<u64, WaitingCall>,
    /// Calls that were refused while they waited and were not looked at since.
    refused: BTreeMap<u64, AdmissionRefusal>,
    pub shares: DemandShares,
    pub error: PredictionError,
    started_ms: DecayingSum,
    sends: HashMap<BackendKey, ServerSends>,
    returns: ReturnSchedule,
    server_count: usize,
    /// Entries that send calls to the service, including this one.
    pub entry_count: usize,
    /// Mean age of the reports of servers that were looked at.
    usual_age: Duration,
    /// When the best server of a call last had no room.
    no_room_at: Option<MonotonicTime>,
}

/// What this entry last sent to a server.
#[derive(Debug, Clone, Copy, Default)]
struct ServerSends {
    /// Slot of the last send, and the work sent in it.
    slot: u64,
    work: Duration,
    last_at: MonotonicTime,
}

/// Call that waits.
#[derive(Debug)]
struct WaitingCall {
    call: OfferedCall,
    params: SchedulingParams,
    position: QueuePosition,
    work: Duration,
}

impl ServiceQueue {
    /// Creates the queue of the entry with `own_hash`, one of `entry_count`. Tickets
    /// count from `first_ticket`.
    pub fn new(own_hash: u64, entry_count: usize, first_ticket: u64) -> Self {
        Self {
            own_hash,
            next_ticket: first_ticket,
            kinds: BTreeMap::new(),
            waiting: BTreeMap::new(),
            refused: BTreeMap::new(),
            shares: DemandShares::default(),
            error: PredictionError::default(),
            started_ms: DecayingSum::new(START_RATE_TIME),
            sends: HashMap::new(),
            returns: ReturnSchedule::default(),
            server_count: 0,
            entry_count,
            usual_age: ENGINE_SLOT,
            no_room_at: None,
        }
    }

    /// Returns whether no call waits or is to be told that it is refused.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.refused.is_empty()
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Decides on a call that is new here.
    pub fn offer(
        &mut self,
        call: OfferedCall,
        candidates: &mut Candidates<'_>,
        is_stopping: bool,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        self.server_count = candidates.servers.len();
        let kind = self
            .kinds
            .entry(call.priority)
            .or_insert_with(|| CallKindState::new(call.objective, now));
        if !kind.is_active(now) {
            kind.objective = call.objective;
        }
        kind.objective = kind.objective.min(call.objective);
        kind.seen_at = now;
        let Some(best) = (candidates.choose)(&[]) else {
            return self.refuse_new(&call, Duration::ZERO, RefusalReason::TooLate, now);
        };
        let kind = self.kinds.entry(call.priority);
        kind.and_modify(|kind| kind.asked_ms.add(to_ms(best.work), now));
        let is_first = self
            .kinds
            .range(..=call.priority)
            .all(|(_, kind)| kind.queue.is_empty());
        if is_first && let Some((estimate, avoid)) = self.find_start(&call, candidates, now) {
            self.record_start(call.priority, &estimate, now);
            return AdmissionDecision::Start { estimate, avoid };
        }
        if is_stopping {
            return self.refuse_new(&call, best.work, RefusalReason::Stopping, now);
        }
        if now >= call.latest_start(best.work) {
            return self.refuse_new(&call, best.work, RefusalReason::TooLate, now);
        }
        self.enqueue(call, best.work, now)
    }

    /// Decides on a call that waits, when there may be room for it.
    pub fn look(
        &mut self,
        ticket: AdmissionTicket,
        candidates: &mut Candidates<'_>,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        self.server_count = candidates.servers.len();
        if let Some(refusal) = self.refused.remove(&ticket.0) {
            return AdmissionDecision::Refuse(refusal);
        }
        let Some(waiting) = self.waiting.get(&ticket.0) else {
            let refusal = AdmissionRefusal {
                reason: RefusalReason::TooLate,
                after: Duration::ZERO,
            };
            return AdmissionDecision::Refuse(refusal);
        };
        if now >= waiting.call.latest_start(waiting.work) {
            let refusal = self.refuse_waiting(ticket.0, RefusalReason::TooLate, now);
            return AdmissionDecision::Refuse(refusal);
        }
        let call = waiting.call.clone();
        let Some((estimate, avoid)) = self.find_start(&call, candidates, now) else {
            return AdmissionDecision::Wait(ticket);
        };
        if let Some(waiting) = self.waiting.remove(&ticket.0)
            && let Some(kind) = self.kinds.get_mut(&call.priority)
        {
            kind.queue.take(waiting.position);
            kind.waiting_ms = (kind.waiting_ms - to_ms(waiting.work)).max(0.0);
        }
        self.record_start(call.priority, &estimate, now);
        AdmissionDecision::Start { estimate, avoid }
    }

    /// Removes a call whose caller has left, or that was refused for another reason.
    pub fn release(&mut self, ticket: AdmissionTicket) {
        self.refused.remove(&ticket.0);
        self.remove(ticket.0);
    }

    /// Refuses the calls that cannot start in time any more, and returns them. Forgets
    /// what is no longer needed.
    pub fn expire(&mut self, lifetime: Duration, now: MonotonicTime) -> Vec<AdmissionTicket> {
        self.shares.expire(lifetime, now);
        self.returns.expire(now);
        self.sends
            .retain(|_, sends| now.since(sends.last_at) < MAX_REPORT_AGE);
        self.kinds
            .retain(|_, kind| !kind.queue.is_empty() || kind.is_active(now));
        let late = |waiting: &WaitingCall| now >= waiting.call.latest_start(waiting.work);
        let late = self.waiting.iter().filter(|(_, waiting)| late(waiting));
        let late: Vec<u64> = late.map(|(id, _)| *id).collect();
        self.refuse_all(late, RefusalReason::TooLate, now)
    }

    /// Refuses all waiting calls, and returns them.
    pub fn stop(&mut self, now: MonotonicTime) -> Vec<AdmissionTicket> {
        let all: Vec<u64> = self.waiting.keys().copied().collect();
        self.refuse_all(all, RefusalReason::Stopping, now)
    }

    /// Returns the calls to be looked at now, in this order, and those that were refused.
    pub fn front(&self, now: MonotonicTime) -> Vec<AdmissionTicket> {
        let mut front: Vec<u64> = self.refused.keys().copied().collect();
        let starved = self.find_starved_kind(now);
        let first = starved.and_then(|priority| self.kinds.get(&priority)?.queue.iter().next());
        front.extend(first.copied());
        for kind in self.kinds.values() {
            front.extend(kind.queue.iter().take(CALLS_PER_ROUND).copied());
        }
        front.into_iter().map(AdmissionTicket).collect()
    }

    /// Returns the work that calls ask for, by priority, to be told to other entries;
    /// empty unless calls have found no room lately.
    pub fn demand(&self, now: MonotonicTime) -> Vec<(u8, u32)> {
        if !self.had_no_room_within(DEMAND_AFTER_NO_ROOM, now) {
            return Vec::new();
        }
        let kinds = self.kinds.iter().filter(|(_, kind)| kind.is_active(now));
        let demand = kinds.map(|(priority, kind)| (*priority, kind.demand_ms(now) as u32));
        demand.filter(|(_, ms)| *ms > 0).collect()
    }

    fn enqueue(
        &mut self,
        call: OfferedCall,
        work: Duration,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        let is_returning = self.returns.take_return(call.identity, now);
        let order = match (call.is_resend, is_returning) {
            (true, _) => RESEND_ORDER,
            (false, true) => 0,
            (false, false) => NEW_CALL_ORDER,
        };
        let params = SchedulingParams {
            tokens: call.tokens,
            weight: call.weight,
            priority: 0,
            order: order + call.latest_start(work).as_micros().min(NEW_CALL_ORDER - 1),
        };
        let id = self.next_ticket;
        self.next_ticket += 1;
        let Some(kind) = self.kinds.get_mut(&call.priority) else {
            return AdmissionDecision::Wait(AdmissionTicket(id));
        };
        let Ok(position) = kind.queue.push(&call.account, params, id) else {
            return self.refuse_new(&call, work, RefusalReason::QueueFull, now);
        };
        kind.waiting_ms += to_ms(work);
        let (priority, latest) = (call.priority, call.latest_start(work));
        let waiting = WaitingCall {
            call,
            params,
            position,
            work,
        };
        self.waiting.insert(id, waiting);
        let is_over_full = kind.queue.len() > MAX_WAITING;
        if is_over_full && let Some(last) = kind.queue.last().copied() {
            let refusal = self.refuse_waiting(last, RefusalReason::QueueFull, now);
            if last == id {
                return AdmissionDecision::Refuse(refusal);
            }
            self.refused.insert(last, refusal);
        }
        let ahead_ms = self.work_ahead_ms(priority, position);
        let begins_at = now + self.time_to_start(priority, ahead_ms, now);
        if begins_at > latest {
            let refusal = self.refuse_waiting(id, RefusalReason::QueueAhead, now);
            return AdmissionDecision::Refuse(refusal);
        }
        AdmissionDecision::Wait(AdmissionTicket(id))
    }

    /// Finds a server that has room for a call, and the servers that have none.
    fn find_start(
        &mut self,
        call: &OfferedCall,
        candidates: &mut Candidates<'_>,
        now: MonotonicTime,
    ) -> Option<(StartEstimate, Vec<BackendKey>)> {
        let best = (candidates.choose)(&[])?;
        self.observe_age(&best);
        let share = self.share(call.priority, now);
        if !self.has_room(call, &best, share, now) {
            self.no_room_at = Some(now);
        }
        if !self.had_no_room_within(SLOTS_AFTER_NO_ROOM, now) {
            let (estimate, avoid) = self.spread(call, candidates, best, now);
            if self.has_room(call, &estimate, share, now) {
                return Some((estimate, avoid));
            }
            self.no_room_at = Some(now);
        }
        let latest = call.latest_start(best.work);
        let has_waited_long = now >= call.received_at + latest.since(call.received_at) / 2;
        let part = self.slot_part(call, &best, share, now)
            * if has_waited_long {
                LONG_WAIT_FACTOR
            } else {
                1.0
            };
        let slot = slot_at(slot_length(&best), now);
        let servers = candidates.servers.iter().copied();
        let mut avoid: Vec<BackendKey> = servers
            .filter(|server| part < 1.0 && self.draw(*server, slot) >= part)
            .collect();
        for look in 0..MAX_LOOKS {
            let estimate = if look == 0 && !avoid.contains(&best.server) {
                best
            } else {
                (candidates.choose)(&avoid)?
            };
            if !has_waited_long && estimate.work > best.work.mul_f64(MAX_WORK_RATIO) {
                return None;
            }
            let has_room = self.has_room(call, &estimate, share, now)
                && self.has_slot_left(call, &estimate, share, now);
            if has_room {
                return Some((estimate, avoid));
            }
            avoid.push(estimate.server);
        }
        None
    }

    /// Chooses one of a few random servers for a call that need not wait, unless the best
    /// one suits it much better.
    fn spread(
        &self,
        call: &OfferedCall,
        candidates: &mut Candidates<'_>,
        best: StartEstimate,
        now: MonotonicTime,
    ) -> (StartEstimate, Vec<BackendKey>) {
        let count = candidates.servers.len().max(1) as f64;
        let part = (SPREAD_SERVERS / count).max(1.5 / self.entry_count as f64);
        if part >= 1.0 {
            return (best, Vec::new());
        }
        let servers = candidates.servers.iter().copied();
        let avoid: Vec<BackendKey> = servers
            .filter(|server| self.draw(*server, call.identity) >= part)
            .collect();
        let others = (candidates.choose)(&avoid);
        let limit = best.wait + self.whole_depth(now);
        let other = others.filter(|other| {
            other.work <= best.work.mul_f64(MAX_SPREAD_WORK_RATIO)
                && self.expected_wait(other, 1.0, now) <= limit
        });
        match other {
            Some(other) => (other, avoid),
            None => (best, Vec::new()),
        }
    }

    /// Returns whether a server begins a call's own work soon enough.
    fn has_room(
        &self,
        call: &OfferedCall,
        estimate: &StartEstimate,
        share: f64,
        now: MonotonicTime,
    ) -> bool {
        let wait = self.expected_wait(estimate, share, now);
        let age = estimate.report_age.unwrap_or(MAX_REPORT_AGE);
        let factor = (1.0 + age.div_duration_f64(ERROR_AGE)).min(MAX_ERROR_FACTOR);
        let error = self.error.lateness(now).mul_f64(factor);
        let error = error.min(call.objective.mul_f64(MAX_ERROR_SHARE));
        let is_open = wait <= self.depth(call.priority, now) || self.may_probe(estimate, wait, now);
        let wait = if is_open {
            wait.min(self.depth(call.priority, now))
        } else {
            wait
        };
        is_open && now + wait + error <= call.latest_start(estimate.work)
    }

    /// Returns whether the wait that a server without an agent reported has passed since,
    /// and this entry has sent it nothing meanwhile. Such servers report only in
    /// responses, so that without a call all entries would take it to be busy.
    fn may_probe(&self, estimate: &StartEstimate, wait: Duration, now: MonotonicTime) -> bool {
        let sends = self.sends.get(&estimate.server);
        !estimate.has_agent
            && estimate.report_age.is_some_and(|age| age >= wait)
            && sends.is_none_or(|sends| now.since(sends.last_at) >= wait)
    }

    /// Returns the wait at a server, with what other entries have sent since its last
    /// report, as far as they send as much as this one.
    fn expected_wait(&self, estimate: &StartEstimate, share: f64, now: MonotonicTime) -> Duration {
        let Some(age) = estimate.report_age.filter(|age| *age < MAX_REPORT_AGE) else {
            return estimate.wait.div_f64(share);
        };
        let others = self.entry_count.saturating_sub(1) as f64;
        let others_rate = self.started_ms.rate(now) * others / self.server_count.max(1) as f64;
        // Servers without an agent report only when they are used.
        let unreported = if estimate.has_agent {
            age
        } else {
            age.min(slot_length(estimate))
        };
        let unreported = unreported.mul_f64((others_rate / 1_000.0).min(1.0));
        let usual = self.usual_age.mul_f64(STALE_AGE_RATIO);
        let stale = if estimate.has_agent {
            age.saturating_sub(usual).mul_f64(STALE_WAIT_FACTOR)
        } else {
            Duration::ZERO
        };
        estimate.wait + unreported + stale
    }

    fn observe_age(&mut self, estimate: &StartEstimate) {
        let age = estimate.report_age.filter(|_| estimate.has_agent);
        let Some(age) = age.filter(|age| *age < MAX_REPORT_AGE) else {
            return;
        };
        let mean = self.usual_age.mul_f64(1.0 - AGE_WEIGHT) + age.mul_f64(AGE_WEIGHT);
        self.usual_age = mean.max(ENGINE_SLOT / 2);
    }

    /// Returns the largest wait at a server to which the most urgent calls are sent.
    fn whole_depth(&self, now: MonotonicTime) -> Duration {
        let active = self.kinds.values().filter(|kind| kind.is_active(now));
        let smallest = active.map(|kind| kind.objective).min();
        let smallest = smallest.unwrap_or(MAX_DEPTH);
        smallest.mul_f64(DEPTH_SHARE).clamp(MIN_DEPTH, MAX_DEPTH)
    }

    /// Returns the largest wait at a server to which calls of a priority are sent.
    fn depth(&self, priority: u8, now: MonotonicTime) -> Duration {
        let depth = self.whole_depth(now);
        let more_urgent = self.kinds.range(..priority);
        let is_less_urgent = more_urgent.into_iter().any(|(_, kind)| kind.is_active(now));
        if is_less_urgent && self.find_starved_kind(now) != Some(priority) {
            depth.mul_f64(LESS_URGENT_DEPTH_SHARE)
        } else {
            depth
        }
    }

    /// Returns the part of the slots in which this entry uses a server: its share of the
    /// calls that fit.
    fn slot_part(
        &self,
        call: &OfferedCall,
        best: &StartEstimate,
        share: f64,
        now: MonotonicTime,
    ) -> f64 {
        let work = best.work.max(Duration::from_millis(1));
        let fitting = self.depth(call.priority, now).div_duration_f64(work);
        share * fitting.max(1.0)
    }

    /// Returns whether this entry has not used its share of a server in this slot; one
    /// call is always allowed.
    fn has_slot_left(
        &self,
        call: &OfferedCall,
        estimate: &StartEstimate,
        share: f64,
        now: MonotonicTime,
    ) -> bool {
        let slot = slot_at(slot_length(estimate), now);
        let sends = self.sends.get(&estimate.server);
        let sends = sends.filter(|sends| sends.slot == slot);
        sends.is_none_or(|sends| {
            let room = self.depth(call.priority, now) + slot_length(estimate);
            sends.work + estimate.work / 2 <= room.mul_f64(share)
        })
    }

    /// Returns a number from 0 to 1 that differs by entry, server and slot.
    fn draw(&self, server: BackendKey, slot: u64) -> f64 {
        let server = slotmap::Key::data(&server).as_ffi();
        let hash = xxh3_64_with_seed(&slot.to_le_bytes(), self.own_hash ^ server);
        hash as f64 / u64::MAX as f64
    }

    fn share(&self, priority: u8, now: MonotonicTime) -> f64 {
        let own = self.kinds.get(&priority);
        let own_ms = own.map_or(0.0, |kind| kind.demand_ms(now));
        self.shares.share(priority, own_ms)
    }

    fn had_no_room_within(&self, time: Duration, now: MonotonicTime) -> bool {
        self.no_room_at.is_some_and(|at| now.since(at) < time)
    }

    /// Returns a less urgent kind that gets almost nothing, and a smaller part of what it
    /// asks for than each more urgent one.
    fn find_starved_kind(&self, now: MonotonicTime) -> Option<u8> {
        let started: f64 = self.kinds.values().map(|k| k.started_ms.at(now)).sum();
        let mut least_ratio = f64::INFINITY;
        for (priority, kind) in &self.kinds {
            let ratio = kind.served_ratio(now);
            let is_starved = !kind.queue.is_empty()
                && ratio < least_ratio
                && kind.started_ms.at(now) < started * MIN_KIND_SHARE;
            if is_starved && least_ratio.is_finite() {
                return Some(*priority);
            }
            least_ratio = least_ratio.min(ratio);
        }
        None
    }

    fn work_ahead_ms(&self, priority: u8, position: QueuePosition) -> f64 {
        let more_urgent = self.kinds.range(..priority);
        let more_urgent_ms: f64 = more_urgent.map(|(_, kind)| kind.waiting_ms).sum();
        let same_ms: f64 = self.kinds.get(&priority).map_or(0.0, |kind| {
            let before = kind.queue.iter_before(position);
            let works = before.filter_map(|id| self.waiting.get(id));
            works.map(|waiting| to_ms(waiting.work)).sum()
        });
        more_urgent_ms + same_ms
    }

    /// Predicts the time until a call of a priority starts that has `ahead_ms` of work
    /// before it, from the rate of starts. More urgent calls keep coming.
    fn time_to_start(&self, priority: u8, ahead_ms: f64, now: MonotonicTime) -> Duration {
        let assumed = ASSUMED_SERVER_SHARE * self.server_count.max(1) as f64 * 1_000.0;
        let rate = self
            .started_ms
            .rate(now)
            .max(assumed * self.share(priority, now));
        let more_urgent = self.kinds.range(..priority);
        let urgent_rate: f64 = more_urgent.map(|(_, kind)| kind.asked_ms.rate(now)).sum();
        let left = (rate - urgent_rate).max(rate * MIN_KIND_SHARE);
        Duration::from_secs_f64((ahead_ms / left).min(3_600.0))
    }

    fn record_start(&mut self, priority: u8, estimate: &StartEstimate, now: MonotonicTime) {
        self.started_ms.add(to_ms(estimate.work), now);
        if let Some(kind) = self.kinds.get_mut(&priority) {
            kind.started_ms.add(to_ms(estimate.work), now);
        }
        let slot = slot_at(slot_length(estimate), now);
        let sends = self.sends.entry(estimate.server).or_default();
        if sends.slot != slot {
            (sends.slot, sends.work) = (slot, Duration::ZERO);
        }
        sends.work += estimate.work;
        sends.last_at = now;
    }

    fn refuse_all(
        &mut self,
        ids: Vec<u64>,
        reason: RefusalReason,
        now: MonotonicTime,
    ) -> Vec<AdmissionTicket> {
        for id in &ids {
            let refusal = self.refuse_waiting(*id, reason, now);
            self.refused.insert(*id, refusal);
        }
        ids.into_iter().map(AdmissionTicket).collect()
    }

    fn refuse_waiting(
        &mut self,
        id: u64,
        reason: RefusalReason,
        now: MonotonicTime,
    ) -> AdmissionRefusal {
        let after = match self.remove(id) {
            Some(waiting) => self.schedule_return(&waiting.call, waiting.work, now),
            None => Duration::ZERO,
        };
        AdmissionRefusal { reason, after }
    }

    fn refuse_new(
        &mut self,
        call: &OfferedCall,
        work: Duration,
        reason: RefusalReason,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        let after = self.schedule_return(call, work, now);
        AdmissionDecision::Refuse(AdmissionRefusal { reason, after })
    }

    /// Returns when a refused caller should return: after the calls that are before it
    /// and the callers that were told to return earlier.
    fn schedule_return(
        &mut self,
        call: &OfferedCall,
        work: Duration,
        now: MonotonicTime,
    ) -> Duration {
        let waiting = self.kinds.range(..=call.priority);
        let waiting_ms: f64 = waiting.map(|(_, kind)| kind.waiting_ms).sum();
        let drained_after = self.time_to_start(call.priority, waiting_ms, now);
        let slot = self.time_to_start(call.priority, to_ms(work), now);
        let spread = xxh3_64(&call.identity.to_le_bytes()) as f64 / u64::MAX as f64;
        let remaining = call.deadline.since(now);
        self.returns
            .schedule(call.identity, (drained_after, slot), remaining, spread, now)
    }

    /// Removes a waiting call that does not start.
    fn remove(&mut self, id: u64) -> Option<WaitingCall> {
        let waiting = self.waiting.remove(&id)?;
        if let Some(kind) = self.kinds.get_mut(&waiting.call.priority) {
            let account = &waiting.call.account;
            kind.queue.cancel(account, waiting.params, waiting.position);
            kind.waiting_ms = (kind.waiting_ms - to_ms(waiting.work)).max(0.0);
        }
        Some(waiting)
    }
}

fn slot_length(estimate: &StartEstimate) -> Duration {
    if estimate.is_plain {
        PLAIN_SLOT
    } else {
        ENGINE_SLOT
    }
}

fn slot_at(length: Duration, now: MonotonicTime) -> u64 {
    now.as_micros() / u64::try_from(length.as_micros()).unwrap_or(u64::MAX)
}

fn to_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
