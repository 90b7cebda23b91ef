//! Follows orders to move services to a build: reports to the leader of each rollout,
//! or leads it under a claim in the store.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::mem::replace;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::context::GatewayContext;
use super::led_rollouts::LedRollout;
use super::state::GatewayState;
use crate::clock::read_wall_clock_ms;
use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::fleet::CLAIM_TTL;
use crate::core::fleet::ClaimGrant;
use crate::core::fleet::ClaimStep;
use crate::core::fleet::OrderClaim;
use crate::core::fleet::RolloutBounds;
use crate::core::fleet::RolloutLeader;
use crate::core::fleet::RolloutNews;
use crate::core::fleet::RolloutOrder;
use crate::core::fleet::RolloutPhase;
use crate::core::fleet::RolloutPlan;
use crate::core::fleet::RolloutRecord;
use crate::core::fleet::RolloutReport;
use crate::core::fleet::ServiceServers;
use crate::mesh::MeshClient;
use crate::mesh::connect_mesh;
use crate::ports::PortError;
use crate::ports::RolloutWrite;
use crate::ports::StoredRollout;

/// Interval between the decisions of a leader, and checks of the store's responses.
const TICK: Duration = Duration::from_millis(50);

/// Interval between the reports of an entry.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of reports a second at one leader; in a large fleet the interval is
/// longer.
const MAX_REPORTS_PER_S: u32 = 1_000;

/// Timeout of a report, below the validity of the plan that answers it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without a plan after which the leader counts as lost; its lease may still run.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// Additional time for each entry that comes before this one in the order in which
/// entries claim the lead.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Interval between attempts to claim the lead, and between failed requests.
const CLAIM_INTERVAL: Duration = Duration::from_millis(700);

/// Time after which a leader that hears no other entry, although it knows some, gives up
/// the lead, and for which it leaves it to others.
const UNHEARD_TIME: Duration = Duration::from_secs(2);

/// Time for which a leader goes on to answer after the end of a rollout.
const FINAL_LINGER: Duration = Duration::from_secs(3);

/// Time after the end of a rollout from which entries check that it is in the store.
const END_CHECK_DELAY: Duration = Duration::from_secs(2);

/// Time to connect to an entry that does not report, and for an old server's load.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Old servers that are asked for their load at once.
const MAX_LOAD_READS: usize = 64;

/// Takes an order from the store.
pub fn observe_rollout_order(
    cx: &GatewayContext,
    state: &mut GatewayState,
    order: RolloutOrder,
    is_new: bool,
    now: MonotonicTime,
) {
    let table = state.route_table.as_ref();
    let is_unknown = table.is_some_and(|table| {
        let mut services = table.configuration().services.iter();
        !services.any(|service| service.name == order.service)
    });
    let (service, target, revision) = (order.service.clone(), order.target.clone(), order.revision);
    let ms = order.duration.map_or(0, |duration| duration.as_millis());
    let result = if is_unknown {
        Err("unknown-service")
    } else {
        state.rollouts.observe_order(order, is_new, now)
    };
    match result {
        Ok(is_changed) => {
            log::info!(
                "rollouts: order service={service} target={target} ms={ms} revision={revision} is_new={is_new} is_changed={is_changed}"
            );
            cx.rollouts.announce_order();
        }
        Err(reason) => {
            log::warn!(
                "rollouts: order rejected service={service} target={target} revision={revision} reason={reason}"
            );
            cx.metrics.count_rejected_rollout(reason);
        }
    }
}

/// Learns what a peer knows of rollouts. An end of one is passed on at once.
pub fn learn_rollouts(
    cx: &GatewayContext,
    state: &mut GatewayState,
    news: &[RolloutNews],
    now: MonotonicTime,
) {
    for rollout in news {
        let is_unknown = state.rollouts.find(&rollout.service).is_none();
        let is_changed = state.rollouts.learn(rollout, now);
        if is_changed {
            log::info!(
                "rollouts: phase service={} phase={:?} fence={} source=peer",
                rollout.service,
                rollout.phase,
                rollout.fence
            );
        }
        if is_unknown || is_changed {
            cx.rollouts.announce_order();
        }
        if is_changed && rollout.phase.is_final() {
            cx.announce_news();
        }
    }
}

/// Follows all orders for as long as the gateway runs. Without orders, nothing is done.
pub async fn lead_rollouts(cx: Arc<GatewayContext>) {
    let mut orders = cx.rollouts.order_count.subscribe();
    let mut tasks: HashMap<String, JoinHandle<()>> = HashMap::new();
    loop {
        orders.borrow_and_update();
        let services: Vec<String> = {
            let state = cx.lock();
            let rollouts = state.rollouts.list();
            rollouts.map(|r| r.order().service.clone()).collect()
        };
        for service in services {
            if tasks.get(&service).is_none_or(JoinHandle::is_finished) {
                let task = follow_rollout(Arc::clone(&cx), service.clone());
                tasks.insert(service, tokio::spawn(task));
            }
        }
        // The sender is in the context, so it still exists.
        let _ = orders.changed().await;
    }
}

async fn follow_rollout(cx: Arc<GatewayContext>, service: String) {
    let now = cx.now();
    let mut follower = Follower {
        group: format!("rollout-{service}"),
        claim: OrderClaim::default(),
        record_revision: None,
        request: None,
        heard_leader_at: now,
        next_claim_at: now,
        heard_entry_at: now,
        next_report_at: now,
        client: None,
        is_report_failing: false,
        is_rewrite_due: false,
        ended_at: None,
        is_end_stored: false,
        idle_servers: HashSet::new(),
        cx,
        service,
    };
    while follower.step().await {
        sleep(TICK).await;
    }
}

/// Outcome of a request to the store.
enum StoreOutcome {
    Read(Result<Option<StoredRollout>, PortError>),
    Acquired(Result<Option<ClaimGrant>, PortError>, MonotonicTime),
    Renewed(Result<bool, PortError>, MonotonicTime),
    Written(RolloutRecord, Result<Option<u64>, PortError>),
    Released(Result<(), PortError>),
}

/// Follows the rollout of one service.
struct Follower {
    cx: Arc<GatewayContext>,
    service: String,
    group: String,
    claim: OrderClaim,
    /// Revision of the state record, 0 for none; `None` if it has to be read.
    record_revision: Option<u64>,
    /// Request to the store that is under way. Decisions and reports go on meanwhile.
    request: Option<JoinHandle<StoreOutcome>>,
    /// When the leader last sent a plan.
    heard_leader_at: MonotonicTime,
    next_claim_at: MonotonicTime,
    /// When another entry last reported to this one.
    heard_entry_at: MonotonicTime,
    next_report_at: MonotonicTime,
    client: Option<(SocketAddr, MeshClient)>,
    /// Whether the last report failed; only the first failure is logged.
    is_report_failing: bool,
    /// The store lacks the end of the rollout that this entry remembers.
    is_rewrite_due: bool,
    /// When this entry first saw that the rollout has ended.
    ended_at: Option<MonotonicTime>,
    /// Whether the end of the rollout is known to be in the store.
    is_end_stored: bool,
    /// Old servers that have stated to run nothing since they were closed.
    idle_servers: HashSet<ServerName>,
}

/// What is known of the rollout at a step.
struct Snapshot {
    order: RolloutOrder,
    phase: RolloutPhase,
    needs_record: bool,
    known_age: Option<Duration>,
    leader: Option<(SocketAddr, u64)>,
}

impl Follower {
    /// Does what is due. Returns false once the rollout has ended and nothing is left to
    /// do for it.
    async fn step(&mut self) -> bool {
        self.collect_outcome().await;
        let Some(snapshot) = self.read_snapshot() else {
            return false;
        };
        self.drop_claim_after_restore();
        let now = self.cx.now();
        let is_leading = self.claim.held_fence(now).is_some()
            && self.cx.rollouts.lock().contains_key(&self.service);
        if is_leading {
            self.lead(&snapshot).await;
        } else {
            self.cx.rollouts.lock().remove(&self.service);
            if !snapshot.phase.is_final() {
                self.report(&snapshot).await;
            }
        }
        self.start_request(&snapshot, is_leading);
        if !snapshot.phase.is_final() {
            self.ended_at = None;
            self.is_end_stored = false;
        }
        let phase = snapshot.phase as i64;
        self.cx
            .metrics
            .set_rollout(&self.service, phase, is_leading);
        !(snapshot.phase.is_final()
            && !snapshot.needs_record
            && self.is_end_stored
            && self.claim.is_idle()
            && self.request.is_none())
    }

    fn read_snapshot(&self) -> Option<Snapshot> {
        let now = self.cx.now();
        let state = self.cx.lock();
        let rollout = state.rollouts.find(&self.service)?;
        Some(Snapshot {
            order: rollout.order().clone(),
            phase: rollout.phase(),
            needs_record: rollout.needs_record(),
            known_age: rollout.known_age(now),
            leader: rollout.leader(),
        })
    }

    fn drop_claim_after_restore(&mut self) {
        if let Some(restored_at) = self.cx.lock().store_restored_at {
            let was_held = !self.claim.is_idle();
            self.claim.record_restore(restored_at);
            if was_held && self.claim.is_idle() {
                log::info!(
                    "rollouts: claim lost service={} reason=restored",
                    self.service
                );
                self.record_revision = None;
            }
        }
    }

    /// Starts the request to the store that is due, if none is under way.
    fn start_request(&mut self, snapshot: &Snapshot, is_leading: bool) {
        if self.request.is_some() {
            return;
        }
        let now = self.cx.now();
        let (cx, service, group) = (
            Arc::clone(&self.cx),
            self.service.clone(),
            self.group.clone(),
        );
        let is_held = self.claim.held_fence(now).is_some();
        let needs_read = snapshot.needs_record
            || (is_held && self.record_revision.is_none())
            || (!is_held && self.is_end_check_due(snapshot, now));
        let is_needed = self.is_claim_needed(snapshot, is_leading, now);
        let step = self.claim.next_step(is_needed, 0, now);
        let request =
            match step {
                ClaimStep::Renew(grant) => tokio::spawn(async move {
                    let sent_at = cx.now();
                    StoreOutcome::Renewed(cx.ports.claims.renew(grant).await, sent_at)
                }),
                ClaimStep::Release(lease) => {
                    log::info!("rollouts: claim released service={service}");
                    self.claim = OrderClaim::default();
                    self.cx.rollouts.lock().remove(&service);
                    self.record_revision = None;
                    tokio::spawn(async move {
                        StoreOutcome::Released(cx.ports.claims.release(lease).await)
                    })
                }
                _ if needs_read && now >= self.next_claim_at => tokio::spawn(async move {
                    StoreOutcome::Read(cx.ports.rollouts.read(&service).await)
                }),
                ClaimStep::Acquire => {
                    self.next_claim_at = now + CLAIM_INTERVAL;
                    tokio::spawn(async move {
                        let sent_at = cx.now();
                        let (claims, holder) = (&cx.ports.claims, cx.settings.name.as_str());
                        let grant = claims.acquire(&group, holder, CLAIM_TTL).await;
                        StoreOutcome::Acquired(grant, sent_at)
                    })
                }
                ClaimStep::Wait | ClaimStep::Refresh(_) => {
                    let Some((grant, write)) = self.find_write(now) else {
                        return;
                    };
                    tokio::spawn(async move {
                        let rollouts = &cx.ports.rollouts;
                        let written = rollouts.write(&service, &group, grant, &write).await;
                        StoreOutcome::Written(write.record, written)
                    })
                }
            };
        self.request = Some(request);
    }

    /// Returns whether this entry has to check that the end of the rollout is in the
    /// store: its leader may have ended before that.
    fn is_end_check_due(&mut self, snapshot: &Snapshot, now: MonotonicTime) -> bool {
        if !snapshot.phase.is_final() || self.is_end_stored || self.is_rewrite_due {
            return false;
        }
        let ended_at = *self.ended_at.get_or_insert(now);
        now.since(ended_at) >= END_CHECK_DELAY + RANK_DELAY * self.rank(now)
    }

    /// Returns whether this entry has to hold the claim, or to try for it.
    fn is_claim_needed(
        &mut self,
        snapshot: &Snapshot,
        is_leading: bool,
        now: MonotonicTime,
    ) -> bool {
        let is_open = !snapshot.phase.is_final() || self.is_rewrite_due;
        let can_lead = snapshot.order.duration.is_some() && !snapshot.needs_record;
        if is_leading {
            return self.is_lead_useful(is_open, now);
        }
        if !self.claim.is_idle() {
            return is_open && can_lead;
        }
        if !is_open || !can_lead || now < self.next_claim_at || self.cx.is_draining() {
            return false;
        }
        let silence = now.since(self.heard_leader_at);
        let base = if snapshot.leader.is_some() && !snapshot.phase.is_final() {
            LEADER_TIMEOUT
        } else {
            Duration::ZERO
        };
        silence >= base + RANK_DELAY * self.rank(now)
    }

    /// Returns whether the leader should go on: a rollout that has ended is told to the
    /// others for a while, and one without contact is left to them.
    fn is_lead_useful(&mut self, is_open: bool, now: MonotonicTime) -> bool {
        if self.cx.is_draining() {
            return false;
        }
        if !is_open {
            let ended_at = *self.ended_at.get_or_insert(now);
            let leaders = self.cx.rollouts.lock();
            let led = leaders.get(&self.service);
            let is_written = led.is_none_or(|led| led.leader.pending_write().is_none());
            self.is_end_stored = is_written;
            return !is_written || now.since(ended_at) < FINAL_LINGER;
        }
        let knows_others = !self.cx.known_entries.list_names(now).is_empty();
        if knows_others && now.since(self.heard_entry_at) >= UNHEARD_TIME {
            log::warn!(
                "rollouts: lead given up service={} reason=\"no entry reports\"",
                self.service
            );
            self.next_claim_at = now + UNHEARD_TIME;
            return false;
        }
        true
    }

    /// Returns the number of known entries that claim the lead before this one.
    fn rank(&self, now: MonotonicTime) -> u32 {
        let seed = xxh3_64(self.service.as_bytes());
        let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let own_score = score(&self.cx.settings.name);
        let names = self.cx.known_entries.list_names(now);
        let before = names.iter().filter(|name| score(name) < own_score).count();
        u32::try_from(before).unwrap_or(u32::MAX).min(1_000)
    }

    fn find_write(&self, now: MonotonicTime) -> Option<(ClaimGrant, RolloutWrite)> {
        if now < self.next_claim_at {
            return None;
        }
        let expected_revision = self.record_revision?;
        let grant = self.claim.held_grant(now)?;
        let leaders = self.cx.rollouts.lock();
        let leader = &leaders.get(&self.service)?.leader;
        let (record, has_new_status) = leader.pending_write()?;
        let status = has_new_status.then_some(record.phase);
        let order_revision = leader.order().revision;
        let write = RolloutWrite {
            record,
            expected_revision,
            order_revision,
            status,
        };
        Some((grant, write))
    }

    /// Applies the outcome of the request to the store, if it has ended.
    async fn collect_outcome(&mut self) {
        if !self.request.as_ref().is_some_and(JoinHandle::is_finished) {
            return;
        }
        let Some(request) = self.request.take() else {
            return;
        };
        let Ok(outcome) = request.await else { return };
        let now = self.cx.now();
        match outcome {
            StoreOutcome::Read(Ok(stored)) => self.apply_read(stored, now),
            StoreOutcome::Acquired(Ok(Some(grant)), sent_at) => {
                log::info!(
                    "rollouts: claim held service={} fence={}",
                    self.service,
                    grant.fence
                );
                self.claim = OrderClaim::default();
                self.claim.record_acquired(grant, sent_at, now);
                self.record_revision = None;
                self.next_claim_at = now;
                self.heard_entry_at = now;
            }
            StoreOutcome::Acquired(Ok(None), _) => {
                // The holder may write the end of the rollout, so it is read again.
                self.is_rewrite_due = false;
                self.ended_at = None;
            }
            StoreOutcome::Renewed(Ok(true), sent_at) => {
                self.claim.record_renewed(sent_at);
                self.update_led_claim();
            }
            StoreOutcome::Renewed(Ok(false), _) => {
                log::warn!("rollouts: claim lost service={}", self.service);
                self.claim = OrderClaim::default();
            }
            StoreOutcome::Written(record, Ok(Some(revision))) => {
                self.record_revision = Some(revision);
                self.confirm_write(record, now);
            }
            StoreOutcome::Written(record, Ok(None)) => {
                log::warn!(
                    "rollouts: not written service={} phase={:?} reason=\"changed meanwhile\"",
                    self.service,
                    record.phase
                );
                self.record_revision = None;
                self.next_claim_at = now + REPORT_INTERVAL;
            }
            StoreOutcome::Released(Ok(())) => {}
            StoreOutcome::Read(Err(e))
            | StoreOutcome::Acquired(Err(e), _)
            | StoreOutcome::Renewed(Err(e), _)
            | StoreOutcome::Written(_, Err(e))
            | StoreOutcome::Released(Err(e)) => self.record_failure(&e, now),
        }
    }

    /// Records that a request failed. A write may have taken effect, so the record is
    /// read before the next one.
    fn record_failure(&mut self, e: &PortError, now: MonotonicTime) {
        log::warn!(
            "rollouts: store failed service={} reason=\"{e}\"",
            self.service
        );
        if *e == PortError::StoreRestored {
            self.cx.lock().record_restore(now);
        }
        self.record_revision = None;
        self.claim.record_failure(now);
        self.next_claim_at = now + CLAIM_INTERVAL / 2;
    }

    fn update_led_claim(&self) {
        if let Some(led) = self.cx.rollouts.lock().get_mut(&self.service) {
            led.claim = self.claim;
        }
    }

    fn confirm_write(&mut self, record: RolloutRecord, now: MonotonicTime) {
        if record.phase.is_final() {
            self.is_end_stored = true;
            self.is_rewrite_due = false;
        }
        log::info!(
            "rollouts: written service={} target={} phase={:?} granted_bound={} requests={}",
            self.service,
            record.target,
            record.phase,
            record.granted_bound,
            record.requests
        );
        let announced = {
            let mut leaders = self.cx.rollouts.lock();
            leaders.get_mut(&self.service).map(|led| {
                led.leader.confirm_write(record, now);
                (led.leader.fence(), led.leader.phase())
            })
        };
        if let Some((fence, phase)) = announced {
            self.learn_own_phase(fence, phase, now);
        }
        self.cx.announce_news();
    }

    /// Takes the state record: what an entry has to know that was not there from the
    /// start, and what a new leader goes on from.
    fn apply_read(&mut self, stored: Option<StoredRollout>, now: MonotonicTime) {
        let Some(snapshot) = self.read_snapshot() else {
            return;
        };
        let order = &snapshot.order;
        let revision = stored.as_ref().map_or(0, |stored| stored.revision);
        let record = stored.and_then(|stored| stored.record);
        let own_record = record
            .as_ref()
            .filter(|record| order.duration.is_none() || record.is_of(order))
            .filter(|record| record.target == order.target);
        let stored_phase = own_record.map(|record| record.phase);
        {
            let mut state = self.cx.lock();
            if let Some(rollout) = state.rollouts.find_mut(&self.service) {
                let known = own_record.map(|record| (record.phase, record.given_up.as_slice()));
                rollout.observe_record(known, now);
            }
        }
        let is_end_stored = stored_phase.is_some_and(RolloutPhase::is_final);
        self.is_end_stored = is_end_stored;
        self.is_rewrite_due = snapshot.phase.is_final() && !is_end_stored;
        if self.claim.held_fence(now).is_none() {
            return;
        }
        self.record_revision = Some(revision);
        let mut leaders = self.cx.rollouts.lock();
        if let Some(led) = leaders.get_mut(&self.service)
            && led.leader.order().has_same_content(order)
        {
            led.leader.correct_stored(own_record.cloned(), now);
            return;
        }
        drop(leaders);
        self.start_leading(&snapshot, record, now);
    }

    fn start_leading(
        &mut self,
        snapshot: &Snapshot,
        stored: Option<RolloutRecord>,
        now: MonotonicTime,
    ) {
        let Some(fence) = self.claim.held_fence(now) else {
            return;
        };
        let order = &snapshot.order;
        let wall_ms = read_wall_clock_ms();
        let known_ms = snapshot.known_age.map_or(0, |age| age.as_millis() as u64);
        let ordered_at_ms = wall_ms.saturating_sub(known_ms);
        let given_up = {
            let state = self.cx.lock();
            let rollout = state.rollouts.find(&self.service);
            rollout.map_or(Vec::new(), |rollout| rollout.given_up().to_vec())
        };
        let extends = stored
            .as_ref()
            .is_some_and(|record| record.target == order.target && !record.phase.is_final());
        let is_stored = stored.as_ref().is_some_and(|record| record.is_of(order));
        let record = match stored {
            Some(record) if is_stored => record,
            Some(record) => record.succeed(order, ordered_at_ms),
            None => RolloutRecord::start(order, ordered_at_ms, given_up),
        };
        // The clock of another host may differ by more than the rollout takes.
        let by_wall_clock = Duration::from_millis(wall_ms.saturating_sub(record.ordered_at_ms));
        let age = snapshot
            .known_age
            .unwrap_or(by_wall_clock.min(order.duration.unwrap_or_default()));
        log::info!(
            "rollouts: leading service={} target={} fence={fence} phase={:?} granted_bound={} is_stored={is_stored} age_ms={}",
            self.service,
            order.target,
            record.phase,
            record.granted_bound,
            age.as_millis()
        );
        let bounds = &self.cx.settings.bounds;
        let bounds = RolloutBounds {
            share: bounds.rollout_exposure_share,
            slack: bounds.rollout_exposure_slack,
        };
        let mut leader =
            RolloutLeader::new(order.clone(), record, is_stored, fence, age, bounds, now);
        if extends {
            leader.keep_status();
        }
        let led = LedRollout {
            leader,
            claim: self.claim,
        };
        self.cx.rollouts.lock().insert(self.service.clone(), led);
        self.idle_servers.clear();
        self.heard_entry_at = now;
    }

    /// Reports to the own leader and lets it decide.
    async fn lead(&mut self, snapshot: &Snapshot) {
        if !self.follow_order(snapshot) {
            return;
        }
        let now = self.cx.now();
        let report = self.build_report(now);
        let (is_closing, is_whole) = {
            let mut leaders = self.cx.rollouts.lock();
            let Some(led) = leaders.get_mut(&self.service) else {
                return;
            };
            let plan = report.and_then(|report| led.leader.observe_report(report, now));
            if let Some(plan) = plan {
                self.apply_plan(&plan, now);
            }
            if led.leader.count_heard(&self.cx.settings.name, now) > 0 {
                self.heard_entry_at = now;
            }
            (led.leader.is_closing(), led.leader.phase().is_whole())
        };
        self.heard_leader_at = now;
        let entries = if is_whole {
            self.list_running_entries().await
        } else {
            let names = self.cx.known_entries.list_names(now).into_iter();
            names.chain([self.cx.settings.name.clone()]).collect()
        };
        let old_running = if is_closing {
            self.read_old_load(&snapshot.order).await
        } else {
            None
        };
        let servers = self.count_servers(&snapshot.order, old_running);
        let now = self.cx.now();
        if self.claim.held_fence(now).is_none() {
            return;
        }
        let mut leaders = self.cx.rollouts.lock();
        let Some(led) = leaders.get_mut(&self.service) else {
            return;
        };
        let Some(phase) = led.leader.advance(servers, &entries, now) else {
            return;
        };
        log::info!(
            "rollouts: decided service={} target={} phase={phase:?} fence={} age_ms={} charged={} requests={} reason=\"{}\"",
            self.service,
            snapshot.order.target,
            led.leader.fence(),
            led.leader.age(now).as_millis(),
            led.leader.charged(),
            led.leader.requests(),
            led.leader.reason()
        );
        if phase == RolloutPhase::RolledBack {
            let (fence, announced) = (led.leader.fence(), led.leader.phase());
            drop(leaders);
            self.learn_own_phase(fence, announced, now);
            self.cx.announce_news();
        }
    }

    /// Follows a newer order. Returns false if the leader of the earlier one has ended.
    fn follow_order(&mut self, snapshot: &Snapshot) -> bool {
        let mut leaders = self.cx.rollouts.lock();
        let Some(led) = leaders.get_mut(&self.service) else {
            return false;
        };
        if led.leader.order().revision == snapshot.order.revision {
            return true;
        }
        if led.leader.order().has_same_content(&snapshot.order) {
            let fence = led.leader.fence();
            led.leader.renew(snapshot.order.clone(), fence);
            return true;
        }
        log::info!(
            "rollouts: order replaced service={} target={} by={}",
            self.service,
            led.leader.order().target,
            snapshot.order.target
        );
        leaders.remove(&self.service);
        // The record is read again, and a leader of the new order starts from it.
        self.record_revision = None;
        false
    }

    fn learn_own_phase(&self, fence: u64, phase: RolloutPhase, now: MonotonicTime) {
        let own = self.cx.settings.listen.peers;
        if let Some(rollout) = self.cx.lock().rollouts.find_mut(&self.service) {
            rollout.learn_leader(own, fence, phase, now);
        }
    }

    fn build_report(&self, now: MonotonicTime) -> Option<RolloutReport> {
        let mut state = self.cx.lock();
        let state = &mut *state;
        let rollout = state.rollouts.find_mut(&self.service)?;
        let target = rollout.order().target.clone();
        let views = state.dispatcher.list_service_backends(&self.service);
        let old_running = views
            .filter(|view| view.member.build != target)
            .map(|view| view.own_calls())
            .sum();
        let name = &self.cx.settings.name;
        Some(rollout.build_report(name, self.cx.incarnation, old_running, now))
    }

    /// Applies a plan of this gateway's own leader.
    fn apply_plan(&self, plan: &RolloutPlan, now: MonotonicTime) {
        let own = self.cx.settings.listen.peers;
        if let Some(rollout) = self.cx.lock().rollouts.find_mut(&self.service) {
            rollout.learn_leader(own, plan.fence, plan.phase, now);
            rollout.apply_plan(plan, now, now);
        }
    }

    /// Reports to the leader that is known, at intervals, and applies its plan.
    async fn report(&mut self, snapshot: &Snapshot) {
        let now = self.cx.now();
        let Some((address, _)) = snapshot.leader else {
            return;
        };
        if now < self.next_report_at || address == self.cx.settings.listen.peers {
            return;
        }
        let entry_count = u32::try_from(self.cx.lock().quota.count_entries()).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1) * entry_count / MAX_REPORTS_PER_S;
        self.next_report_at = now + (interval.max(REPORT_INTERVAL) - TICK / 2);
        let result = self.report_to(address).await;
        let was_failing = replace(&mut self.is_report_failing, result.is_err());
        if let Err(reason) = result {
            self.client = None;
            if was_failing {
                return;
            }
            log::info!(
                "rollouts: not reported service={} leader={address} reason=\"{reason}\"",
                self.service
            );
        }
    }

    async fn report_to(&mut self, address: SocketAddr) -> Result<(), String> {
        let client = match self.client.take() {
            Some((connected, client)) if connected == address => client,
            _ => connect_mesh(address).await.map_err(|e| e.to_string())?,
        };
        let sent_at = self.cx.now();
        let Some(report) = self.build_report(sent_at) else {
            return Ok(());
        };
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + REPORT_TIMEOUT;
        let plan = client
            .report_rollout(context, report)
            .await
            .map_err(|e| e.to_string())?;
        self.client = Some((address, client));
        let Some(plan) = plan else {
            return Err("it does not lead".into());
        };
        let now = self.cx.now();
        let mut state = self.cx.lock();
        let Some(rollout) = state.rollouts.find_mut(&self.service) else {
            return Ok(());
        };
        self.heard_leader_at = now;
        if rollout.apply_plan(&plan, sent_at, now) {
            log::info!(
                "rollouts: phase service={} phase={:?} fence={} source=leader",
                self.service,
                plan.phase,
                plan.fence
            );
            drop(state);
            if plan.phase.is_final() {
                self.cx.announce_news();
            }
        }
        Ok(())
    }

    /// Returns the names of the entries that are known, without those whose process has
    /// ended: their host refuses connections.
    async fn list_running_entries(&self) -> Vec<String> {
        let now = self.cx.now();
        let mut known = self.cx.known_entries.list(now);
        let silent: HashSet<String> = {
            let leaders = self.cx.rollouts.lock();
            let led = leaders.get(&self.service);
            let is_silent = |name: &String| led.is_some_and(|led| !led.leader.is_heard(name, now));
            known
                .iter()
                .map(|entry| entry.name.clone())
                .filter(is_silent)
                .collect()
        };
        let checks = known
            .iter()
            .filter(|entry| silent.contains(&entry.name))
            .map(|entry| is_refused(entry.address));
        let mut are_refused = join_all(checks).await.into_iter();
        known.retain(|entry| !silent.contains(&entry.name) || !are_refused.next().unwrap_or(false));
        let names = known.into_iter().map(|entry| entry.name);
        names.chain([self.cx.settings.name.clone()]).collect()
    }

    /// Asks the old servers that have not stated to run nothing for their load. Returns
    /// the number of calls that they run; `None` if one of them does not tell.
    async fn read_old_load(&mut self, order: &RolloutOrder) -> Option<u32> {
        let (servers, health_path) = {
            let state = self.cx.lock();
            let views = state.dispatcher.list_service_backends(&self.service);
            let servers: Vec<(ServerName, SocketAddr)> = views
                .filter(|view| view.member.build != order.target)
                .filter(|view| !self.idle_servers.contains(&view.member.name))
                .map(|view| (view.member.name.clone(), view.member.address))
                .collect();
            let services = state.route_table.as_ref();
            let mut services = services
                .into_iter()
                .flat_map(|table| &table.configuration().services);
            let service = services.find(|service| service.name == self.service);
            let path = service.map(|service| service.health_path.clone());
            (servers, path.unwrap_or_default())
        };
        let count = servers.len();
        let reads = servers
            .iter()
            .take(MAX_LOAD_READS)
            .map(|(_, address)| read_running(&self.cx, *address, &health_path));
        let loads = join_all(reads).await;
        let mut running = (count <= MAX_LOAD_READS).then_some(0);
        for ((name, _), load) in servers.iter().zip(loads) {
            if load == Some(0) {
                self.idle_servers.insert(name.clone());
            }
            running = running.zip(load).map(|(sum, load): (u32, u32)| sum + load);
        }
        running
    }

    fn count_servers(&self, order: &RolloutOrder, old_running: Option<u32>) -> ServiceServers {
        let now = self.cx.now();
        let state = self.cx.lock();
        let given_up = state
            .rollouts
            .find(&self.service)
            .map_or(&[][..], |rollout| rollout.given_up());
        let mut servers = ServiceServers {
            old_running,
            ..ServiceServers::default()
        };
        for view in state.dispatcher.list_service_backends(&self.service) {
            let build = &view.member.build;
            if *build == order.target {
                servers.new_accepting += u32::from(view.accepts_calls(now));
            } else if !given_up.contains(build) {
                servers.old_listed += 1;
            }
        }
        servers
    }
}

async fn is_refused(address: SocketAddr) -> bool {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(e)) => e.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Returns the calls that a server states to run; none if its process has ended, or if
/// it states no load: the entries' own counts decide then.
async fn read_running(cx: &GatewayContext, address: SocketAddr, health_path: &str) -> Option<u32> {
    if is_refused(address).await {
        return Some(0);
    }
    let read = cx.ports.engine.read_load(address, health_path);
    match timeout(CHECK_TIMEOUT, read).await {
        Ok(Ok(load)) => Some(load.map_or(0, |load| load.running + load.waiting)),
        Ok(Err(_)) | Err(_) => None,
    }
}
