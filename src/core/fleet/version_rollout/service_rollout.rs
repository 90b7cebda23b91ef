//! What an entry knows of the rollout of one service, and what it counts for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::BuildCounters;
use super::BuildFilter;
use super::RolloutNews;
use super::RolloutOrder;
use super::RolloutPhase;
use super::RolloutPlan;
use super::RolloutReport;
use super::RouteReport;
use crate::core::MonotonicTime;
use crate::core::fleet::Build;

/// Time after the end of a rollout in which the old servers get nothing although they
/// may still be listed.
const OLD_SERVER_LINGER: Duration = Duration::from_secs(10);

/// Time for which the end of a rollout is told to peers.
const FINAL_NEWS_PERIOD: Duration = Duration::from_secs(60);

/// Rollout of a service as one entry knows it.
#[derive(Debug)]
pub struct ServiceRollout {
    order: RolloutOrder,
    seen_at: MonotonicTime,
    /// Whether the order was seen when it was written, so that its age is known.
    has_known_age: bool,
    /// Whether the state record has to be read: the rollout may have ended before this
    /// entry knew of it.
    needs_record: bool,
    given_up: Vec<Build>,
    /// The target and the targets that were given up.
    barred: Arc<[Build]>,
    phase: RolloutPhase,
    ended_at: Option<MonotonicTime>,
    fence: u64,
    leader: Option<SocketAddr>,
    allowance: u64,
    allowed_until: MonotonicTime,
    plan_validity: Duration,
    wanted_routes: Vec<String>,
    sent: u64,
    report_count: u64,
    routes: BTreeMap<String, RouteState>,
}

#[derive(Debug)]
struct RouteState {
    report: RouteReport,
    sent_to_new: u64,
}

impl ServiceRollout {
    /// Creates the state of an order, written at `seen_at` or found in a full read. A plan
    /// of the leader counts for `plan_validity`.
    pub fn new(
        order: RolloutOrder,
        has_known_age: bool,
        given_up: Vec<Build>,
        plan_validity: Duration,
        seen_at: MonotonicTime,
    ) -> Self {
        let mut rollout = Self {
            barred: Arc::default(),
            order,
            seen_at,
            has_known_age,
            needs_record: !has_known_age,
            given_up,
            phase: RolloutPhase::Canary,
            ended_at: None,
            fence: 0,
            leader: None,
            allowance: 0,
            allowed_until: MonotonicTime::ZERO,
            plan_validity,
            wanted_routes: Vec::new(),
            sent: 0,
            report_count: 0,
            routes: BTreeMap::new(),
        };
        rollout.update_barred();
        rollout
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the phase in which the entry acts.
    pub fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Returns the targets of earlier orders whose servers get nothing.
    pub fn given_up(&self) -> &[Build] {
        &self.given_up
    }

    /// Returns the leader's address and fencing token, if one is known.
    pub fn leader(&self) -> Option<(SocketAddr, u64)> {
        self.leader.map(|leader| (leader, self.fence))
    }

    /// Returns whether the state record has to be read.
    pub fn needs_record(&self) -> bool {
        self.needs_record
    }

    /// Returns the time since the order, if it is known.
    pub fn known_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.has_known_age.then(|| now.since(self.seen_at))
    }

    /// Records a later write of the order, which says the same.
    pub fn renew(&mut self, order: RolloutOrder) {
        if order.revision > self.order.revision {
            // The store may have been restored from a copy without the last state.
            self.needs_record |= self.phase.is_final();
            self.order = order;
        }
    }

    /// Replaces the order by a newer one with the same target, while it runs.
    pub fn extend(&mut self, order: RolloutOrder, has_known_age: bool, now: MonotonicTime) {
        self.order = order;
        self.has_known_age = has_known_age;
        self.seen_at = now;
    }

    /// Records that the state record was read; `phase` and `given_up` are those of the
    /// record of this order, if there is one.
    pub fn observe_record(&mut self, record: Option<(RolloutPhase, &[Build])>, now: MonotonicTime) {
        self.needs_record = false;
        if let Some((phase, given_up)) = record {
            for build in given_up {
                if !self.given_up.contains(build) && *build != self.order.target {
                    self.given_up.push(build.clone());
                }
            }
            self.update_barred();
            self.enter(phase.max(self.phase), now);
        }
    }

    /// Counts a request that has reached the service.
    pub fn record_request(&mut self, route: &str) {
        if !self.phase.is_final() {
            self.route(route).report.requests += 1;
        }
    }

    /// Returns the builds at which a call may run. `is_first` tells that it was sent to
    /// no server yet, `begun` is the build at which its stream began.
    pub fn permit(
        &self,
        route: &str,
        is_first: bool,
        begun: Option<&Build>,
        now: MonotonicTime,
    ) -> BuildFilter {
        let target = || BuildFilter::Only(self.order.target.clone());
        let others = || BuildFilter::Except(Arc::clone(&self.barred));
        let is_begun_at_other = begun.is_some_and(|build| *build != self.order.target);
        match self.phase {
            RolloutPhase::Completed => match self.ended_at {
                Some(at) if now.since(at) < OLD_SERVER_LINGER => target(),
                _ => BuildFilter::Any,
            },
            RolloutPhase::RolledBack => others(),
            RolloutPhase::Closing => target(),
            RolloutPhase::Whole if is_begun_at_other => others(),
            RolloutPhase::Whole => target(),
            RolloutPhase::Canary | RolloutPhase::FirstStep | RolloutPhase::SecondStep => {
                let is_permitted = match begun {
                    Some(_) => !is_begun_at_other && self.allowance_left(now) > 0,
                    None => is_first && self.permits_first_send(route, now),
                };
                if is_permitted { target() } else { others() }
            }
        }
    }

    /// Returns the builds other than those that must get nothing without an allowance.
    pub fn other_builds(&self) -> BuildFilter {
        BuildFilter::Except(Arc::clone(&self.barred))
    }

    /// Returns whether a call that finds no server of the permitted builds may run at
    /// [`Self::other_builds`].
    pub fn allows_fallback(&self) -> bool {
        !self.phase.is_whole() && !self.phase.is_final()
    }

    fn permits_first_send(&self, route: &str, now: MonotonicTime) -> bool {
        let left = self.allowance_left(now);
        let is_wanted = self.wanted_routes.iter().any(|wanted| wanted == route);
        let reserved = u64::from(!is_wanted && !self.wanted_routes.is_empty());
        // Both builds need responses in the same time, so the new one gets no more than
        // half of a route.
        let has_share = self
            .routes
            .get(route)
            .is_none_or(|state| state.sent_to_new * 2 <= state.report.requests);
        left > reserved && has_share
    }

    fn allowance_left(&self, now: MonotonicTime) -> u64 {
        if now < self.allowed_until {
            self.allowance.saturating_sub(self.sent)
        } else {
            0
        }
    }

    /// Counts a call for which a server of `build` was chosen.
    pub fn record_send(&mut self, route: &str, build: &Build) {
        if *build == self.order.target && !self.phase.is_final() {
            self.sent += 1;
            self.route(route).sent_to_new += 1;
        }
    }

    /// Counts the time to a response or to the first event of a stream.
    pub fn record_time(&mut self, route: &str, build: &Build, elapsed: Duration) {
        if let Some(counters) = self.counters(route, build) {
            counters.record_time(elapsed);
        }
    }

    /// Counts the end of a call that a server of `build` has run.
    pub fn record_end(&mut self, route: &str, build: &Build, is_failure: bool) {
        if let Some(counters) = self.counters(route, build) {
            counters.record_end(is_failure);
        }
    }

    /// Returns the counters of a build on a route; `None` if it is not compared.
    fn counters(&mut self, route: &str, build: &Build) -> Option<&mut BuildCounters> {
        if self.phase.is_final() || self.given_up.contains(build) {
            return None;
        }
        let is_new = *build == self.order.target;
        let report = &mut self.route(route).report;
        Some(if is_new {
            &mut report.new
        } else {
            &mut report.old
        })
    }

    fn route(&mut self, route: &str) -> &mut RouteState {
        let entry = self.routes.entry(route.to_owned());
        entry.or_insert_with(|| RouteState {
            report: RouteReport {
                route: route.to_owned(),
                ..RouteReport::default()
            },
            sent_to_new: 0,
        })
    }

    /// Builds the next report. `old_running` is the number of calls that this entry runs
    /// at the old servers.
    pub fn build_report(
        &mut self,
        entry: &str,
        incarnation: u64,
        old_running: u32,
        now: MonotonicTime,
    ) -> RolloutReport {
        self.report_count += 1;
        RolloutReport {
            service: self.order.service.clone(),
            revision: self.order.revision,
            entry: entry.to_owned(),
            incarnation,
            number: self.report_count,
            order_age_ms: self
                .known_age(now)
                .map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            phase: self.phase,
            allowance: self.allowance,
            sent: self.sent,
            old_running,
            routes: self.routes.values().map(|s| s.report.clone()).collect(),
        }
    }

    /// Applies the plan that answers a report sent at `sent_at`. Returns whether the
    /// phase changed.
    pub fn apply_plan(
        &mut self,
        plan: &RolloutPlan,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        if plan.fence < self.fence || plan.revision != self.order.revision {
            return false;
        }
        let is_changed = self.learn_phase(plan.fence, plan.phase, now);
        self.allowance = plan.allowance;
        self.allowed_until = sent_at + self.plan_validity;
        self.wanted_routes.clone_from(&plan.wanted_routes);
        is_changed
    }

    /// Learns of a leader. Returns whether the phase changed.
    pub fn learn_leader(
        &mut self,
        leader: SocketAddr,
        fence: u64,
        phase: RolloutPhase,
        now: MonotonicTime,
    ) -> bool {
        if fence < self.fence {
            return false;
        }
        self.leader = Some(leader);
        self.learn_phase(fence, phase, now)
    }

    fn learn_phase(&mut self, fence: u64, phase: RolloutPhase, now: MonotonicTime) -> bool {
        let is_newer_leader = fence > self.fence;
        self.fence = self.fence.max(fence);
        // Messages of one leader may overtake each other, but its phases only rise.
        if is_newer_leader || phase > self.phase {
            return self.enter(phase, now);
        }
        false
    }

    fn enter(&mut self, phase: RolloutPhase, now: MonotonicTime) -> bool {
        // The end of a rollout stands, also before a leader that does not know it.
        if self.phase.is_final() || phase == self.phase {
            return false;
        }
        self.phase = phase;
        if phase.is_final() {
            self.ended_at = Some(now);
            self.routes.clear();
        }
        true
    }

    /// Returns what peers have to be told; `None` long after the end.
    pub fn news(&self, now: MonotonicTime) -> Option<RolloutNews> {
        let is_old = self
            .ended_at
            .is_some_and(|at| now.since(at) >= FINAL_NEWS_PERIOD);
        (!is_old).then(|| RolloutNews {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            revision: self.order.revision,
            fence: self.fence,
            phase: self.phase,
            leader: self.leader,
        })
    }

    fn update_barred(&mut self) {
        let given_up = self.given_up.iter().cloned();
        self.barred = given_up.chain([self.order.target.clone()]).collect();
    }
}
